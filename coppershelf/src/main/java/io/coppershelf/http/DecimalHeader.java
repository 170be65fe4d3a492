package io.coppershelf.http;

import java.util.Optional;
import java.util.regex.Pattern;

/** Reads a header whose value is a decimal number without sign or exponent. */
public final class DecimalHeader {
    private static final Pattern DECIMAL = Pattern.compile("[0-9]{1,9}(\\.[0-9]{1,9})?");

    private DecimalHeader() {}

    /** Returns the number, empty if the value is not one. */
    public static Optional<Double> parse(String value) {
        String trimmed = value.trim();
        return DECIMAL.matcher(trimmed).matches() ? Optional.of(Double.parseDouble(trimmed)) : Optional.empty();
    }
}
