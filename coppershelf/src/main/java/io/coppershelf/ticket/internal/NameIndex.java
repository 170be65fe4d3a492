package io.coppershelf.ticket.internal;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;

/** An immutable index from a text to the sorted names filed under it. */
final class NameIndex {
    private static final String SEPARATOR = "\n";

    private final PackedMap names;

    private NameIndex(PackedMap names) {
        this.names = names;
    }

    static NameIndex empty() {
        return new NameIndex(PackedMap.empty());
    }

    /** Returns the names filed under the text, in order. */
    List<String> names(String text) {
        return names.get(text)
                .map(bytes -> List.of(new String(bytes, StandardCharsets.UTF_8).split(SEPARATOR)))
                .orElse(List.of());
    }

    /** Returns this index with a name taken from one text and filed under another. */
    NameIndex moved(String name, Optional<String> from, Optional<String> to) {
        if (from.equals(to)) {
            return this;
        }
        NameIndex without = from.map(text -> changed(text, name, false)).orElse(this);
        return to.map(text -> without.changed(text, name, true)).orElse(without);
    }

    private NameIndex changed(String text, String name, boolean filed) {
        SortedSet<String> entries = new TreeSet<>(names(text));
        if (filed) {
            entries.add(name);
        } else {
            entries.remove(name);
        }
        if (entries.isEmpty()) {
            return new NameIndex(names.without(text));
        }
        byte[] bytes = String.join(SEPARATOR, entries).getBytes(StandardCharsets.UTF_8);
        return new NameIndex(names.with(text, bytes));
    }
}
