package io.coppershelf.eventlog;

import java.util.LinkedHashMap;
import java.util.Map;

/** Collects the fields of a line in order. */
public final class Fields {
    private Fields() {}

    /**
     * Returns the fields.
     *
     * @param namesAndValues names and values alternately
     */
    public static Map<String, Object> of(Object... namesAndValues) {
        Map<String, Object> fields = new LinkedHashMap<>();
        for (int i = 0; i + 1 < namesAndValues.length; i += 2) {
            fields.put(namesAndValues[i].toString(), namesAndValues[i + 1]);
        }
        return fields;
    }
}
