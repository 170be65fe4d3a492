package io.coppershelf.proxy;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class BodyMemoryTest {
    @Test
    void releasedMemoryCanBeReservedAgain() {
        BodyMemory memory = new BodyMemory(10);
        assertThat(memory.tryReserve(10)).isTrue();
        assertThat(memory.tryReserve(1)).isFalse();
        memory.release(10);
        assertThat(memory.tryReserve(1)).isTrue();
    }
}
