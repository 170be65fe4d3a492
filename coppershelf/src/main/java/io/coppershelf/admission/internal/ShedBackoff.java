package io.coppershelf.admission.internal;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/** Leaves a server that refused a try alone for a while, doubled for each refusal in a row. */
public final class ShedBackoff {
    private static final Duration FIRST = Duration.ofMillis(50);
    private static final Duration LONGEST = Duration.ofSeconds(1);

    private final Map<String, Pause> pauses = new HashMap<>();

    /** Takes in that the server refused a try. */
    public void refused(String server, long nowNanos) {
        Pause last = pauses.get(server);
        if (last != null && nowNanos - last.untilNanos < 0) {
            return;
        }
        Duration length = last == null ? FIRST : last.length.multipliedBy(2);
        Duration limited = length.compareTo(LONGEST) > 0 ? LONGEST : length;
        pauses.put(server, new Pause(limited, nowNanos + limited.toNanos()));
    }

    /** Takes in that the server ran a try. */
    public void ran(String server, long nowNanos) {
        Pause last = pauses.get(server);
        if (last != null && nowNanos - last.untilNanos >= 0) {
            pauses.remove(server);
        }
    }

    /** Returns whether the server is to be left alone. */
    public boolean isPaused(String server, long nowNanos) {
        Pause last = pauses.get(server);
        return last != null && nowNanos - last.untilNanos < 0;
    }

    private record Pause(Duration length, long untilNanos) {}
}
