package io.coppershelf.cli.internal;

import io.coppershelf.operator.HybridClock;
import io.coppershelf.operator.StampedEvent;
import io.coppershelf.operator.Timeline;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;

/** Formats an event of the timeline as one line of text. */
public final class EventLine {
    private static final DateTimeFormatter TIME =
            DateTimeFormatter.ofPattern("uuuu-MM-dd'T'HH:mm:ss.SSS'Z'").withZone(ZoneOffset.UTC);
    private static final long COUNTER_MASK = (1L << HybridClock.COUNTER_BITS) - 1;

    private EventLine() {}

    /** Returns the line: time, counter of the clock, VM, component, text and what the event concerns. */
    public static String of(StampedEvent stamped) {
        Timeline.Event event = stamped.event();
        StringBuilder line = new StringBuilder();
        line.append(time(stamped.stamp()))
                .append(String.format("+%04x ", stamped.stamp() & COUNTER_MASK))
                .append(stamped.vm())
                .append(" [")
                .append(event.component())
                .append("] ")
                .append(event.text());
        event.service().ifPresent(name -> line.append(" service=").append(name));
        event.server().ifPresent(name -> line.append(" server=").append(name));
        event.request().ifPresent(id -> line.append(" request=").append(id));
        event.ticket().ifPresent(number -> line.append(" ticket=").append(number));
        return line.toString().replace('\n', ' ');
    }

    /** Returns the UTC time of a stamp. */
    public static String time(long stamp) {
        return TIME.format(Instant.ofEpochMilli(HybridClock.millis(stamp)));
    }
}
