package io.coppershelf.http;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Decides which bodies are read while memory is short, which requests are accepted and whose connection is closed. A
 * pure function of the states of all bodies.
 */
final class MemoryPolicy {
    /** Size up to which a body may use the whole memory, in bytes. */
    static final int SMALL_BYTES = 64 * 1024;
    /** The most that one read of a connection delivers, in bytes; the limit of Netty's receive buffers. */
    static final int READ_BYTES = 64 * 1024;
    /** Share of the memory that larger bodies may use. */
    static final double LARGE_SHARE = 0.75;
    /**
     * Share of the memory that is left to the oldest answer alone in addition, for answers whose length is unknown; 2.5
     * MB of the usual 40 MB, which holds the largest answers of the expected workloads.
     */
    static final double COMPLETION_SHARE = 1.0 / 16;
    /** Time after which the transfer of a body may be judged slow. */
    static final long MIN_AGE_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final long limitBytes;

    MemoryPolicy(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /**
     * Returns whether a body may be accepted as a whole. Large ones are not while others wait for memory, so that they
     * can't take what answers need.
     */
    boolean isAccepted(long bytes, long usedBytes, boolean isShort) {
        if (bytes <= SMALL_BYTES) {
            return usedBytes + bytes <= limitBytes;
        }
        return !isShort && usedBytes + bytes <= LARGE_SHARE * limitBytes;
    }

    /**
     * Returns whether an answer of unknown length is given up while memory is short: it has used up the reserve for the
     * oldest answer, and may have no end.
     */
    boolean isGivenUp(BodyKind kind, boolean isLengthKnown, long heldBytes) {
        return kind == BodyKind.ANSWER && !isLengthKnown && heldBytes > COMPLETION_SHARE * limitBytes;
    }

    /** Returns whether all bodies can be read without any further decision. */
    boolean hasRoomForAll(long usedBytes, long remainingBytes) {
        return usedBytes + remainingBytes <= sharedBytes();
    }

    /** Returns whether the answers of one service leave enough memory to those of others. */
    boolean isWithinShare(long serviceBytes, long usedBytes) {
        return ServiceShares.isWithinShare(serviceBytes, sharedBytes() - usedBytes);
    }

    /**
     * Returns the numbers of the bodies that may be read now: large ones as long as one read of each fits into the
     * share of the large bodies, the oldest first, then small ones into the whole memory. The memory for the rest of
     * the oldest answer is left to it, so that answers can't all wait for each other. Answers beyond the share of their
     * service wait. Bodies whose memory is reserved are always read.
     *
     * @param readers the bodies that are being read, the oldest first
     * @param forced the body that is read whatever the memory, since nothing else can make progress
     */
    Set<Long> readable(List<BodyState> readers, long usedBytes, OptionalLong forced) {
        Set<Long> readable = new HashSet<>();
        long plannedBytes = usedBytes;
        boolean isOldestAnswer = true;
        ServiceShares shares = new ServiceShares(sharedBytes(), COMPLETION_SHARE * limitBytes);
        readers.forEach(shares::add);
        for (BodyState reader : readers) {
            if (!reader.isLarge()) {
                continue;
            }
            boolean isPreferred = isOldestAnswer && reader.kind() == BodyKind.ANSWER;
            isOldestAnswer = isOldestAnswer && !isPreferred;
            double bound = isPreferred ? LARGE_SHARE * limitBytes : sharedBytes();
            boolean isForced = forced.isPresent() && forced.getAsLong() == reader.number();
            boolean fits =
                    plannedBytes + reader.nextBytes() <= bound && shares.take(reader, sharedBytes() - plannedBytes);
            if (isForced || reader.nextBytes() == 0 || fits) {
                readable.add(reader.number());
            }
            if (isPreferred) {
                plannedBytes += reader.remainingBytes();
            } else if (readable.contains(reader.number())) {
                plannedBytes += reader.nextBytes();
            }
        }
        plannedBytes -= reservedForOldest(readers);
        for (BodyState reader : readers) {
            if (reader.isLarge()) {
                continue;
            }
            boolean fits = plannedBytes + reader.nextBytes() <= limitBytes
                    && shares.take(reader, (double) limitBytes - plannedBytes);
            if (reader.nextBytes() == 0 || fits) {
                readable.add(reader.number());
                plannedBytes += reader.nextBytes();
            }
        }
        return readable;
    }

    /**
     * Returns the body whose connection is closed if nothing makes progress: of the large answers that callers read,
     * the one that would take longest at its rate so far, which is large as well as slow; if there is none, of the
     * large requests whose callers stopped sending, the largest. Empty if neither exists.
     */
    Optional<BodyState> toClose(List<BodyState> bodies) {
        Optional<BodyState> slowestDelivery = bodies.stream()
                .filter(body -> body.kind() == BodyKind.DELIVERY && body.isLarge())
                .filter(body -> body.ageNanos() >= MIN_AGE_NANOS)
                .max(Comparator.comparingDouble(MemoryPolicy::remainingNanos));
        return slowestDelivery.or(() -> bodies.stream()
                .filter(body -> body.kind() == BodyKind.REQUEST && body.isLarge() && body.isReading())
                .filter(body -> body.idleNanos() >= MIN_AGE_NANOS)
                .max(Comparator.comparingLong(BodyState::heldBytes)));
    }

    /** Returns what the oldest large answer needs beyond its next read; small bodies may use it meanwhile. */
    private static long reservedForOldest(List<BodyState> readers) {
        return readers.stream()
                .filter(reader -> reader.isLarge() && reader.kind() == BodyKind.ANSWER)
                .findFirst()
                .map(reader -> reader.remainingBytes() - reader.nextBytes())
                .orElse(0L);
    }

    private static double remainingNanos(BodyState delivery) {
        return (double) delivery.heldBytes() * delivery.ageNanos() / Math.max(1, delivery.movedBytes());
    }

    private double sharedBytes() {
        return (LARGE_SHARE - COMPLETION_SHARE) * limitBytes;
    }
}
