package io.coppershelf.peer.internal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.GatheringByteChannel;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.Supplier;

/** Writes frames to a channel that may accept only part of them at a time. */
final class FrameWriter {
    private static final int MAX_FRAMES_PER_WRITE = 32;

    private final Deque<ByteBuffer> unwritten = new ArrayDeque<>();
    private volatile boolean isWriting;

    /** Returns whether frames have been fetched from the source but not completely written. */
    boolean isWriting() {
        return isWriting;
    }

    /**
     * Writes as much as the channel accepts.
     *
     * @param source returns the next frame, empty if there is none
     * @return whether all frames are written
     */
    boolean write(GatheringByteChannel channel, Supplier<Optional<ByteBuffer>> source) throws IOException {
        isWriting = true;
        while (fill(source)) {
            channel.write(unwritten.toArray(ByteBuffer[]::new));
            unwritten.removeIf(frame -> !frame.hasRemaining());
            if (!unwritten.isEmpty()) {
                return false;
            }
        }
        isWriting = false;
        return true;
    }

    private boolean fill(Supplier<Optional<ByteBuffer>> source) {
        while (unwritten.size() < MAX_FRAMES_PER_WRITE) {
            Optional<ByteBuffer> next = source.get();
            if (next.isEmpty()) {
                break;
            }
            unwritten.addLast(next.get());
        }
        return !unwritten.isEmpty();
    }
}
