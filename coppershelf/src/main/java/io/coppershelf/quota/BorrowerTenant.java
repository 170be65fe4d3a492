package io.coppershelf.quota;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** What a VM that receives requests of a tenant knows of its tokens. Not thread-safe. */
final class BorrowerTenant {
    /** Time for which the tokens must last; with fewer, more are requested before a request has to wait. */
    private static final double LOW_SECONDS = 0.1;

    private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(5);

    final String name;
    final TokenPurse purse;
    final DemandEstimate demand = new DemandEstimate();
    final Deque<Waiting> waiting = new ArrayDeque<>();
    /** The granters that were asked since the first of the waiting requests arrived. */
    final Set<InetSocketAddress> asked = new HashSet<>();

    /** Time for which a VM that grants none of the tenant's tokens is not asked again; it may become a granter. */
    private static final long ABSENT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final Map<InetSocketAddress, Long> absentUntil = new HashMap<>();
    private final Map<InetSocketAddress, Long> deniedUntil = new HashMap<>();
    private final Deque<Long> spentNanos = new ArrayDeque<>();
    Optional<Exchange> exchange = Optional.empty();
    double perSecond;
    /** Whether a granter of this round did not answer, or answered that it is none. */
    boolean isGranterMissing;

    /** Whether a granter of this round answered that it has no tokens. */
    boolean isDenied;

    /** The time of the last grant or denial. */
    Optional<Long> answeredNanos = Optional.empty();

    long usedNanos;

    BorrowerTenant(String name, long nowNanos) {
        this.name = name;
        purse = new TokenPurse(name);
        usedNanos = nowNanos;
    }

    /** Starts a new round over the granters. */
    void startRound() {
        asked.clear();
        isGranterMissing = false;
        isDenied = false;
    }

    /**
     * Returns the number of tokens to request now, 0 if there are enough.
     *
     * @param aheadSeconds the time for which tokens are requested in advance
     */
    int wanted(double aheadSeconds, long nowNanos) {
        double rate = demand.perSecond(nowNanos);
        int held = purse.size();
        if (waiting.isEmpty() && held >= Math.floor(LOW_SECONDS * rate) + 1) {
            return 0;
        }
        int ahead = (int) Math.floor(aheadSeconds * rate);
        return Math.max(0, waiting.size() + ahead - held);
    }

    /** Records that a request was admitted. */
    void recordSpent(long nowNanos) {
        spentNanos.addLast(nowNanos);
    }

    /** Returns the number of requests that were admitted in the last window. */
    int spent(long nowNanos) {
        while (!spentNanos.isEmpty() && nowNanos - spentNanos.peekFirst() > WINDOW_NANOS) {
            spentNanos.removeFirst();
        }
        return spentNanos.size();
    }

    void recordDenial(InetSocketAddress granter, long untilNanos) {
        deniedUntil.put(granter, untilNanos);
        isDenied = true;
    }

    /** Records that a VM grants none of the tenant's tokens. */
    void recordAbsence(InetSocketAddress vm, long nowNanos) {
        absentUntil.values().removeIf(until -> nowNanos - until >= 0);
        absentUntil.put(vm, nowNanos + ABSENT_NANOS);
        isGranterMissing = true;
    }

    /** Returns whether a VM may be asked now: it wasn't asked in this round and may have tokens. */
    boolean isAskable(InetSocketAddress vm, long nowNanos) {
        Long absent = absentUntil.get(vm);
        return !asked.contains(vm) && !isDenied(vm, nowNanos) && (absent == null || nowNanos - absent >= 0);
    }

    /** Returns whether a granter of this round or shortly before it did not answer, or answered that it is none. */
    boolean isGranterMissing(long nowNanos) {
        return isGranterMissing || absentUntil.values().stream().anyMatch(until -> nowNanos - until < 0);
    }

    void clearDenial(InetSocketAddress granter) {
        deniedUntil.remove(granter);
    }

    void clearDenials() {
        deniedUntil.clear();
    }

    private boolean isDenied(InetSocketAddress granter, long nowNanos) {
        Long until = deniedUntil.get(granter);
        return until != null && nowNanos - until < 0;
    }

    /** Returns the time until a granter has tokens again, empty if none has denied them. */
    Optional<Duration> deniedFor(Set<InetSocketAddress> live, long nowNanos) {
        deniedUntil.entrySet().removeIf(entry -> !live.contains(entry.getKey()) || nowNanos - entry.getValue() >= 0);
        return deniedUntil.values().stream()
                .map(until -> Duration.ofNanos(until - nowNanos))
                .min(Duration::compareTo);
    }

    boolean isIdle(long nowNanos, long idleNanos) {
        return waiting.isEmpty() && exchange.isEmpty() && purse.isEmpty() && nowNanos - usedNanos > idleNanos;
    }

    /** A request without a token. */
    record Waiting(long requestNumber, long sinceNanos) {}

    /**
     * A request for tokens without an answer.
     *
     * @param sentNanos the time at which it was sent first
     */
    record Exchange(InetSocketAddress granter, QuotaMessage.Request request, long sentNanos, boolean isRepeated) {}
}
