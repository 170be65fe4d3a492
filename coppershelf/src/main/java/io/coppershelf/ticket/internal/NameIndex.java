package io.coppershelf.ticket.internal;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;

/** An immutable multimap from keys to sorted names. */
final class NameIndex {
    private static final String SEPARATOR = "\n";

    private final PackedMap names;

    private NameIndex(PackedMap names) {
        this.names = names;
    }

    static NameIndex empty() {
        return new NameIndex(PackedMap.empty());
    }

    /** Returns the names of the key, in order. */
    List<String> names(String key) {
        return names.get(key)
                .map(bytes -> List.of(new String(bytes, StandardCharsets.UTF_8).split(SEPARATOR)))
                .orElse(List.of());
    }

    /** Returns a copy of this index in which a name is moved from one key to another. */
    NameIndex moved(String name, Optional<String> from, Optional<String> to) {
        if (from.equals(to)) {
            return this;
        }
        NameIndex without = from.map(key -> changed(key, name, false)).orElse(this);
        return to.map(key -> without.changed(key, name, true)).orElse(without);
    }

    private NameIndex changed(String key, String name, boolean isAdded) {
        SortedSet<String> entries = new TreeSet<>(names(key));
        if (isAdded) {
            entries.add(name);
        } else {
            entries.remove(name);
        }
        if (entries.isEmpty()) {
            return new NameIndex(names.without(key));
        }
        byte[] bytes = String.join(SEPARATOR, entries).getBytes(StandardCharsets.UTF_8);
        return new NameIndex(names.with(key, bytes));
    }
}
