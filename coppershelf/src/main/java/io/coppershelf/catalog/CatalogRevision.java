package io.coppershelf.catalog;

import java.util.Comparator;

/**
 * A revision of the platform's store. A store that is restored from an older copy starts a new era, in which it assigns
 * numbers again; revisions are therefore ordered by era first.
 *
 * @param era the number of restores that the store reports
 * @param number the number that the store assigned within the era
 */
public record CatalogRevision(long era, long number) implements Comparable<CatalogRevision> {
    /** The revision before the first reading. */
    public static final CatalogRevision NONE = new CatalogRevision(0, 0);

    /** The era of a store that was never restored. */
    private static final long FIRST_ERA = 1;

    private static final Comparator<CatalogRevision> ORDER =
            Comparator.comparingLong(CatalogRevision::era).thenComparingLong(CatalogRevision::number);

    @Override
    public int compareTo(CatalogRevision other) {
        return ORDER.compare(this, other);
    }

    /** Returns whether this revision is newer than the other one. */
    public boolean isAfter(CatalogRevision other) {
        return compareTo(other) > 0;
    }

    /** Returns whether the numbers of both revisions were assigned in the same era and can be compared. */
    public boolean isSameEra(CatalogRevision other) {
        return era == other.era;
    }

    /** Returns whether the store was restored from an older copy, and may lack what other VMs have read before. */
    public boolean isOfRestoredStore() {
        return era > FIRST_ERA;
    }

    /** Spares the start the classes that the JVM generates for the method of a record, as no archive holds them. */
    @Override
    public boolean equals(Object other) {
        return other instanceof CatalogRevision that && era == that.era && number == that.number;
    }

    @Override
    public int hashCode() {
        return 31 * Long.hashCode(era) + Long.hashCode(number);
    }

    @Override
    public String toString() {
        return era + "." + number;
    }
}
