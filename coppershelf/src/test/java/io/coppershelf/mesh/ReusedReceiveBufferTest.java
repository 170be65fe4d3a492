package io.coppershelf.mesh;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;
import org.junit.jupiter.api.Test;

/** Guards against datagrams that overwrite each other and against an allocation for each of them. */
@SuppressWarnings("deprecation")
final class ReusedReceiveBufferTest {
    private static final int BYTES = 100;

    private final RecvByteBufAllocator.Handle handle = new ReusedReceiveBuffer(BYTES).newHandle();

    @Test
    void theNextDatagramReusesAReleasedBuffer() {
        ByteBuf first = allocate();
        first.writeByte(1);
        first.release();

        ByteBuf second = allocate();

        assertThat(second).isSameInstanceAs(first);
        assertThat(second.readableBytes()).isEqualTo(0);
        assertThat(second.writableBytes()).isEqualTo(BYTES);
    }

    @Test
    void aRetainedBufferIsNotOverwritten() {
        ByteBuf retained = allocate();
        retained.writeByte(1);

        ByteBuf second = allocate();
        second.writeByte(2);

        assertThat(second).isNotSameInstanceAs(retained);
        assertThat(retained.readByte()).isEqualTo(1);
    }

    private ByteBuf allocate() {
        return handle.allocate(UnpooledByteBufAllocator.DEFAULT);
    }
}
