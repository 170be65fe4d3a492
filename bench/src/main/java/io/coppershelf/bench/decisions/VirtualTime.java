package io.coppershelf.bench.decisions;

import java.util.Comparator;
import java.util.PriorityQueue;

/** An event queue in virtual time; events of the same time run in the order in which they were scheduled. */
final class VirtualTime {
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::sequence));
    private long nowNanos;
    private long sequence;

    /** Returns the time in nanoseconds from the start of the run. */
    long now() {
        return nowNanos;
    }

    /** Schedules the task for the given time, or for now if that time has passed. */
    void at(long nanos, Runnable task) {
        events.add(new Event(Math.max(nanos, nowNanos), sequence++, task));
    }

    /** Schedules the task after the given delay. */
    void after(long nanos, Runnable task) {
        at(nowNanos + nanos, task);
    }

    /** Runs all events that are due up to the given time, inclusive. */
    void runUntil(long endNanos) {
        while (!events.isEmpty() && events.peek().atNanos() <= endNanos) {
            Event event = events.remove();
            nowNanos = event.atNanos();
            event.task().run();
        }
        nowNanos = endNanos;
    }

    private record Event(long atNanos, long sequence, Runnable task) {}
}
