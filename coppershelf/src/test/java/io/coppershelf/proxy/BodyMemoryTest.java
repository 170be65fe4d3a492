package io.coppershelf.proxy;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class BodyMemoryTest {
    @Test
    void memoryThatIsGivenBackCanBeTakenAgain() {
        BodyMemory memory = new BodyMemory(10);
        assertThat(memory.tryTake(10)).isTrue();
        assertThat(memory.tryTake(1)).isFalse();
        memory.release(10);
        assertThat(memory.tryTake(1)).isTrue();
    }
}
