package io.coppershelf.bench.matrix;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;

/** Virtual time and the ways between hosts that can be killed, paused, restarted and cut in one direction. */
final class VirtualNetwork {
    private static final Duration LATENCY = Duration.ofMillis(1);

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::order));
    private final Map<String, Integer> lives = new HashMap<>();
    private final Map<String, Long> pausedUntil = new HashMap<>();
    private final Set<String> killed = new HashSet<>();
    private final Set<String> cuts = new HashSet<>();
    private long now;
    private long order;

    long nowNanos() {
        return now;
    }

    /** Runs what is due until the given time. */
    void runUntil(Duration end) {
        while (!events.isEmpty() && events.peek().atNanos() <= end.toNanos()) {
            Event event = events.poll();
            now = Math.max(now, event.atNanos());
            run(event);
        }
        now = Math.max(now, end.toNanos());
    }

    /** Runs the task on the host after the delay, later if it is paused then, never if it is killed or restarted. */
    void after(String host, Duration delay, Runnable task) {
        add(host, now + delay.toNanos(), task);
    }

    /** Carries a message from host to host; a restart of the target breaks the connection on which it comes. */
    void send(String from, String to, Runnable onArrival) {
        if (cuts.contains(from + ">" + to) || killed.contains(from)) {
            return;
        }
        add(to, now + LATENCY.toNanos(), onArrival);
    }

    boolean isUp(String host) {
        return !killed.contains(host);
    }

    int incarnation(String host) {
        return lives.getOrDefault(host, 0);
    }

    void kill(String host) {
        killed.add(host);
    }

    void restart(String host) {
        lives.merge(host, 1, Integer::sum);
    }

    void pause(String host, Duration duration) {
        pausedUntil.put(host, now + duration.toNanos());
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
        boolean isGone = killed.contains(event.host()) || event.life() != incarnation(event.host());
        if (isGone) {
            return;
        }
        long wake = pausedUntil.getOrDefault(event.host(), 0L);
        if (now < wake) {
            events.add(new Event(wake, order++, event.host(), event.life(), event.task()));
            return;
        }
        event.task().run();
    }

    private record Event(long atNanos, long order, String host, int life, Runnable task) {}
}
