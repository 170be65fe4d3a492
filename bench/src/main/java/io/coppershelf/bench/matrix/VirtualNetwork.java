package io.coppershelf.bench.matrix;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;

/** A network in virtual time. Hosts can be killed, paused and restarted, and network paths cut in one direction. */
final class VirtualNetwork {
    private static final Duration LATENCY = Duration.ofMillis(1);

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::order));
    private final Map<String, Integer> incarnations = new HashMap<>();
    private final Map<String, Long> pausedUntil = new HashMap<>();
    private final Set<String> killed = new HashSet<>();
    private final Set<String> cuts = new HashSet<>();
    private long nowNanos;
    private long order;

    long nowNanos() {
        return nowNanos;
    }

    /** Runs the tasks that are due up to the given time, inclusive. */
    void runUntil(Duration end) {
        while (!events.isEmpty() && events.peek().atNanos() <= end.toNanos()) {
            Event event = events.poll();
            nowNanos = Math.max(nowNanos, event.atNanos());
            run(event);
        }
        nowNanos = Math.max(nowNanos, end.toNanos());
    }

    /**
     * Schedules the task on the host after the delay. A paused host runs it at the end of its pause; a host that is
     * killed or restarted before never runs it.
     */
    void after(String host, Duration delay, Runnable task) {
        add(host, nowNanos + delay.toNanos(), task);
    }

    /** Delivers a message from host to host; it is lost if the target restarts first, which closes the connection. */
    void send(String from, String to, Runnable onArrival) {
        if (cuts.contains(from + ">" + to) || killed.contains(from)) {
            return;
        }
        add(to, nowNanos + LATENCY.toNanos(), onArrival);
    }

    boolean isUp(String host) {
        return !killed.contains(host);
    }

    int incarnation(String host) {
        return incarnations.getOrDefault(host, 0);
    }

    void kill(String host) {
        killed.add(host);
    }

    void restart(String host) {
        incarnations.merge(host, 1, Integer::sum);
    }

    void pause(String host, Duration duration) {
        pausedUntil.put(host, nowNanos + duration.toNanos());
    }

    void cut(String from, String to) {
        cuts.add(from + ">" + to);
    }

    void healAll() {
        cuts.clear();
    }

    private void add(String host, long atNanos, Runnable task) {
        events.add(new Event(atNanos, order++, host, incarnation(host), task));
    }

    private void run(Event event) {
        boolean isDiscarded = killed.contains(event.host()) || event.incarnation() != incarnation(event.host());
        if (isDiscarded) {
            return;
        }
        long resumeNanos = pausedUntil.getOrDefault(event.host(), 0L);
        if (nowNanos < resumeNanos) {
            events.add(new Event(resumeNanos, order++, event.host(), event.incarnation(), event.task()));
            return;
        }
        event.task().run();
    }

    private record Event(long atNanos, long order, String host, int incarnation, Runnable task) {}
}
