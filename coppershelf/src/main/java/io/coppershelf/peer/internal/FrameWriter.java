package io.coppershelf.peer.internal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.GatheringByteChannel;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.Supplier;

/** Writes frames to a channel that may take only part of them at a time. */
final class FrameWriter {
    private static final int FRAMES_AT_ONCE = 32;

    private final Deque<ByteBuffer> begun = new ArrayDeque<>();
    private volatile boolean isWriting;

    /** Returns whether frames are begun and not wholly written. */
    boolean isWriting() {
        return isWriting;
    }

    /**
     * Writes as much as the channel takes.
     *
     * @param source gives the next frame, empty if there is none
     * @return whether all frames are written
     */
    boolean write(GatheringByteChannel channel, Supplier<Optional<ByteBuffer>> source) throws IOException {
        isWriting = true;
        while (fill(source)) {
            channel.write(begun.toArray(ByteBuffer[]::new));
            begun.removeIf(frame -> !frame.hasRemaining());
            if (!begun.isEmpty()) {
                return false;
            }
        }
        isWriting = false;
        return true;
    }

    private boolean fill(Supplier<Optional<ByteBuffer>> source) {
        while (begun.size() < FRAMES_AT_ONCE) {
            Optional<ByteBuffer> next = source.get();
            if (next.isEmpty()) {
                break;
            }
            begun.addLast(next.get());
        }
        return !begun.isEmpty();
    }
}
