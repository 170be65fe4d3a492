package io.coppershelf.mesh;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.DefaultMaxMessagesRecvByteBufAllocator;
import java.nio.ByteBuffer;

/**
 * Receives one datagram at a time into the same buffer, since the allocation of a buffer for each datagram takes more
 * processor time than the system call. A receiver that retains the buffer gets it alone; the next datagram then gets a
 * new one.
 */
final class ReusedReceiveBuffer extends DefaultMaxMessagesRecvByteBufAllocator {
    private final int bytes;

    /**
     * Creates an allocator.
     *
     * @param bytes the size of the largest datagram
     */
    ReusedReceiveBuffer(int bytes) {
        super(1);
        this.bytes = bytes;
    }

    @Override
    public MaxMessageHandle newHandle() {
        return new MaxMessageHandle() {
            private ByteBuf buffer = Unpooled.EMPTY_BUFFER;

            @Override
            public ByteBuf allocate(ByteBufAllocator allocator) {
                boolean isReusable = buffer.capacity() == bytes && buffer.refCnt() == 1;
                if (!isReusable) {
                    buffer.release();
                    // Freed by the garbage collector after the channel is closed.
                    buffer = Unpooled.wrappedBuffer(ByteBuffer.allocateDirect(bytes));
                }
                return buffer.clear().retain();
            }

            @Override
            public int guess() {
                return bytes;
            }
        };
    }
}
