package io.coppershelf.mesh;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Decides when this VM reports its requests in flight and its observations to other VMs: a failure, and a new request
 * that fills up a server, soon, since other VMs may choose the same server; anything else with the next message or
 * after a short delay. The interval between two reports grows with the number of receivers, which bounds the messages
 * that this VM sends. Free of I/O and clocks; not thread-safe.
 */
final class ServerReporter {
    /** Longest delay of the report of a new request; two VMs rarely choose the same server within it. */
    private static final long URGENT_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(5);
    /** Longest delay of the report of an ended request in a small fleet, a fraction of a typical request's duration. */
    private static final long DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    /** The same in a large fleet, where more reports are sent together. */
    private static final long LARGE_FLEET_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
    /** Interval at which all counts are reported again, as datagrams may be lost; a third of the expiry of a count. */
    private static final long REPEAT_NANOS = TimeUnit.SECONDS.toNanos(1);
    /** Largest number of datagrams that are sent in a second in reports on the servers of one data centre. */
    private static final int MAX_SENT_PER_SECOND = 600;

    private final Map<Long, Integer> inFlight = new HashMap<>();
    private final Set<Long> unreported = new HashSet<>();
    private List<MeshMessage.ServerObservation> observations = new ArrayList<>();
    private long dueNanos = Long.MAX_VALUE;
    private long lastReportNanos;
    private long lastRepeatNanos;

    /** Returns the number of requests that this VM has in flight at a server. */
    int inFlight(long serverCode) {
        return inFlight.getOrDefault(serverCode, 0);
    }

    /**
     * Records the number of requests that this VM has in flight at a server. Returns the time at which the report is
     * due.
     *
     * @param isUrgent whether other VMs need the number soon
     * @param audience the receivers of reports, which decide on delays
     */
    long changed(long serverCode, int count, boolean isUrgent, Audience audience, long nowNanos) {
        if (count > 0) {
            inFlight.put(serverCode, count);
        } else {
            inFlight.remove(serverCode);
        }
        unreported.add(serverCode);
        return due(isUrgent, audience, nowNanos);
    }

    /** Records an observation that other VMs need. Returns the time at which the report is due. */
    long observed(MeshMessage.ServerObservation observation, Audience audience, long nowNanos) {
        observations.add(observation);
        return due(observation.observation().isNegative(), audience, nowNanos);
    }

    private long due(boolean isUrgent, Audience audience, long nowNanos) {
        long delay = audience.isPartial() ? LARGE_FLEET_DELAY_NANOS : DELAY_NANOS;
        dueNanos = Math.min(dueNanos, nowNanos + (isUrgent ? URGENT_DELAY_NANOS : delay));
        long minIntervalNanos =
                audience.isPartial() ? TimeUnit.SECONDS.toNanos(audience.receivers()) / MAX_SENT_PER_SECOND : 0;
        dueNanos = Math.max(dueNanos, lastReportNanos + minIntervalNanos);
        return dueNanos;
    }

    /** Returns the report that is due, if any, and clears what it contains. */
    Optional<MeshMessage.ServerReport> pollDue(long nowNanos) {
        if (nowNanos - lastRepeatNanos >= REPEAT_NANOS) {
            lastRepeatNanos = nowNanos;
            unreported.addAll(inFlight.keySet());
            dueNanos = unreported.isEmpty() && observations.isEmpty() ? Long.MAX_VALUE : nowNanos;
        }
        if (nowNanos < dueNanos) {
            return Optional.empty();
        }
        dueNanos = Long.MAX_VALUE;
        lastReportNanos = nowNanos;
        List<Long> codes = new ArrayList<>(unreported);
        List<Integer> counts = codes.stream().map(this::inFlight).toList();
        List<MeshMessage.ServerObservation> observed = observations;
        unreported.clear();
        observations = new ArrayList<>();
        return codes.isEmpty() && observed.isEmpty()
                ? Optional.empty()
                : Optional.of(new MeshMessage.ServerReport(codes, counts, observed));
    }
}
