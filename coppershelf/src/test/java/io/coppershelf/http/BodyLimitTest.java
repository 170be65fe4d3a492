package io.coppershelf.http;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;

final class BodyLimitTest {
    private static final long MEGABYTE = 1024 * 1024;
    private static final long HEAP_BYTES = 128 * MEGABYTE;

    @Test
    void limitIsAsBeforeWithoutAStatedMemory() {
        assertThat(BodyLimit.of(Optional.empty(), HEAP_BYTES)).isEqualTo(BodyLimit.DEFAULT);
    }

    /** Guards against a VM of 330 MB that is killed, and against one of 682 MB whose heap is exhausted. */
    @Test
    void limitFollowsFromTheHeapWhereTheMemoryHoldsMore() {
        assertThat(BodyLimit.of(Optional.of(330), HEAP_BYTES).bytes()).isEqualTo(40 * MEGABYTE);
        assertThat(BodyLimit.of(Optional.of(682), HEAP_BYTES).bytes()).isEqualTo(40 * MEGABYTE);
    }

    @Test
    void limitFollowsFromAMemoryThatHoldsLittleMoreThanTheHeap() {
        assertThat(BodyLimit.of(Optional.of(256), HEAP_BYTES).bytes()).isEqualTo(24 * MEGABYTE);
        assertThat(BodyLimit.of(Optional.of(128), HEAP_BYTES).bytes()).isEqualTo(8 * MEGABYTE);
    }
}
