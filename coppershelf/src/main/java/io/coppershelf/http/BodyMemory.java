package io.coppershelf.http;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Bounds the total memory for the bodies of all requests and answers in transit. A share of it is kept for small
 * bodies, so that large ones can't keep the others from being served. With backpressure, reading pauses while memory is
 * short; otherwise a body for which there is no memory fails. Confined to one thread.
 */
public final class BodyMemory {
    /**
     * Time without any progress of the bodies that wait for memory after which a connection is closed; a caller that
     * reads takes the rest of a window much faster.
     */
    private static final long STUCK_NANOS = TimeUnit.SECONDS.toNanos(1);
    /**
     * Bytes received between two decisions while memory is short. A decision takes time in proportion to the number of
     * bodies, and answers may arrive in chunks of a few bytes.
     */
    private static final long DECISION_BYTES = 16 * 1024;

    private final MemoryPolicy policy;
    private final long limitBytes;
    private final boolean hasBackpressure;
    private final LongSupplier clock;
    /** The bodies that take memory, the oldest first. */
    private final Map<Long, HeldBody> bodies = new LinkedHashMap<>();

    private final Map<BodyKind, Long> usedBytesByKind = new EnumMap<>(BodyKind.class);
    /** The memory that the answers of each service take that are being read. */
    private final Map<String, Long> usedBytesByService = new HashMap<>();

    private final MemoryCounts counts = new MemoryCounts();
    private OptionalLong forced = OptionalLong.empty();
    private long nextNumber;
    private long usedBytes;
    private int readers;
    private int paused;
    private long progressNanos;
    private long undecidedBytes;

    private BodyMemory(long limitBytes, boolean hasBackpressure, LongSupplier clock) {
        policy = new MemoryPolicy(limitBytes);
        this.limitBytes = limitBytes;
        this.hasBackpressure = hasBackpressure;
        this.clock = clock;
    }

    /** Creates an unused memory in which a body fails if there is no memory for it. */
    public BodyMemory(long limitBytes) {
        this(limitBytes, false, System::nanoTime);
    }

    /** Creates an unused memory that pauses reading while it is short. */
    public static BodyMemory withBackpressure(long limitBytes) {
        return withBackpressure(limitBytes, System::nanoTime);
    }

    /** Creates an unused memory that pauses reading while it is short, with the clock of a test. */
    static BodyMemory withBackpressure(long limitBytes, LongSupplier clock) {
        return new BodyMemory(limitBytes, true, clock);
    }

    /** Starts to count a body that takes no memory yet. */
    public HeldBody open(BodyKind kind, BodyOwner owner) {
        return open(kind, owner, "");
    }

    /**
     * Starts to count an answer that takes no memory yet.
     *
     * @param service the service that it comes from, empty if it is limited by no share of its service
     */
    public HeldBody openAnswer(BodyOwner owner, String service) {
        return open(BodyKind.ANSWER, owner, service);
    }

    private HeldBody open(BodyKind kind, BodyOwner owner, String service) {
        nextNumber++;
        return new HeldBody(this, kind, owner, service, nextNumber, clock.getAsLong());
    }

    /** Returns the memory that all bodies take, in bytes. */
    public long usedBytes() {
        return usedBytes;
    }

    /** Returns the memory that the bodies of a kind take, in bytes. */
    public long usedBytes(BodyKind kind) {
        return usedBytesByKind.getOrDefault(kind, 0L);
    }

    /** Returns the limit, in bytes. */
    public long limitBytes() {
        return limitBytes;
    }

    /** Returns whether bodies wait for memory. */
    public boolean isShort() {
        return paused > 0;
    }

    /** Returns the number of bodies whose reading is paused. */
    public int pausedReads() {
        return paused;
    }

    /** Returns what was done for lack of memory so far. */
    public MemoryCounts counts() {
        return counts;
    }

    /**
     * Closes a connection if bodies wait for memory and none of them has made progress for some time; if there is none
     * to close, lets the oldest answer be completed beyond the limit. To be called several times a second.
     */
    public void relieve() {
        long now = clock.getAsLong();
        if (paused == 0) {
            progressNanos = now;
            return;
        }
        if (now - progressNanos < STUCK_NANOS) {
            return;
        }
        progressNanos = now;
        List<BodyState> states =
                bodies.values().stream().map(body -> body.state(now)).toList();
        Optional<BodyState> closed = policy.toClose(states);
        if (closed.isPresent()) {
            counts.recordClosed();
            bodies.get(closed.get().number()).owner().closeForMemory();
        } else {
            forced = states.stream()
                    .filter(body -> body.kind() == BodyKind.ANSWER && body.isReading())
                    .mapToLong(BodyState::number)
                    .findFirst();
        }
        update();
    }

    long nowNanos() {
        return clock.getAsLong();
    }

    boolean tryAccept(HeldBody body, long bytes) {
        if (!policy.isAccepted(bytes, usedBytes, isShort())) {
            counts.recordRefused();
            return false;
        }
        if (bytes > 0) {
            count(body, bytes);
            update();
        }
        return true;
    }

    boolean add(HeldBody body, long bytes) {
        if (!hasBackpressure && !policy.isAccepted(body.heldBytes() + bytes, usedBytes - body.heldBytes(), false)) {
            return false;
        }
        if (body.isLarge() || body.hasPaused()) {
            progressNanos = clock.getAsLong();
        }
        count(body, bytes);
        if (isShort() && policy.isGivenUp(body.kind(), body.isLengthKnown(), body.heldBytes())) {
            return false;
        }
        undecidedBytes += bytes;
        if (paused == 0 || undecidedBytes >= DECISION_BYTES) {
            update();
        }
        return true;
    }

    void hold(HeldBody body, long bytes) {
        count(body, bytes);
        update();
    }

    void release(HeldBody body, long bytes) {
        if (bodies.containsKey(body.number())) {
            count(body, -bytes);
            update();
        }
    }

    void readingEnded(HeldBody body) {
        if (bodies.containsKey(body.number()) && body.isReading()) {
            stopReading(body);
            update();
        }
    }

    void remove(HeldBody body) {
        if (bodies.containsKey(body.number())) {
            if (body.isReading()) {
                stopReading(body);
            }
            count(body, -body.heldBytes());
            bodies.remove(body.number());
            update();
        }
    }

    private void stopReading(HeldBody body) {
        readers--;
        if (body.isPaused()) {
            paused--;
        }
        body.stopReading();
        if (forced.isPresent() && forced.getAsLong() == body.number()) {
            forced = OptionalLong.empty();
        }
    }

    private void count(HeldBody body, long bytes) {
        if (bodies.putIfAbsent(body.number(), body) == null && body.isReading()) {
            readers++;
        }
        body.addHeld(bytes);
        usedBytes += bytes;
        counts.recordUsed(usedBytes);
        usedBytesByKind.merge(body.kind(), bytes, Long::sum);
        if (!body.service().isEmpty() && usedBytesByService.merge(body.service(), bytes, Long::sum) == 0) {
            usedBytesByService.remove(body.service());
        }
    }

    private long remainingBytes() {
        if (readers == 0) {
            return 0;
        }
        long remaining = 0;
        for (HeldBody body : bodies.values()) {
            remaining += body.isReading() ? body.remainingBytes() : 0;
        }
        return remaining;
    }

    private boolean isShared() {
        return usedBytesByService.values().stream().allMatch(bytes -> policy.isWithinShare(bytes, usedBytes));
    }

    /** Pauses and continues the reading of bodies. */
    private void update() {
        if (!hasBackpressure || (paused == 0 && policy.hasRoomForAll(usedBytes, remainingBytes()) && isShared())) {
            return;
        }
        undecidedBytes = 0;
        long now = clock.getAsLong();
        List<BodyState> states = bodies.values().stream()
                .filter(HeldBody::isReading)
                .map(body -> body.state(now))
                .toList();
        Set<Long> readable = policy.readable(states, usedBytes, forced);
        for (BodyState state : states) {
            setPaused(bodies.get(state.number()), !readable.contains(state.number()));
        }
    }

    private void setPaused(HeldBody body, boolean pause) {
        if (body.setPaused(pause)) {
            paused += pause ? 1 : -1;
            if (pause) {
                counts.recordPaused();
            }
        }
    }
}
