package io.coppershelf.http;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

final class DecimalHeaderTest {
    @Test
    void decimalNumbersAreRead() {
        assertThat(DecimalHeader.parse("2")).hasValue(2.0);
        assertThat(DecimalHeader.parse(" 0.25 ")).hasValue(0.25);
    }

    @Test
    void otherValuesAreNotNumbers() {
        for (String value :
                List.of("", "-1", "1e3", "2,5", ".5", "1.", "few", "NaN", "Tue, 1 Dec 2026", "1234567890")) {
            assertThat(DecimalHeader.parse(value)).isEmpty();
        }
    }
}
