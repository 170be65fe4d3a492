package io.coppershelf.admission.internal;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/** Leaves a server that refused a try alone for a while, doubled for each refusal without a success between. */
public final class ShedBackoff {
    private static final Duration FIRST = Duration.ofMillis(10);
    private static final Duration LONGEST = Duration.ofSeconds(1);

    private final Map<String, Pause> pauses = new HashMap<>();

    /** Takes in that the server refused a try. */
    public void recordRefusal(String server, long nowNanos) {
        Pause last = pauses.get(server);
        if (last != null && nowNanos - last.untilNanos < 0) {
            return;
        }
        Duration length = last == null || last.length.isZero() ? FIRST : last.length.multipliedBy(2);
        Duration limited = length.compareTo(LONGEST) > 0 ? LONGEST : length;
        pauses.put(server, new Pause(limited, nowNanos + limited.toNanos()));
    }

    /** Takes in that the server ran a try: the next pause is short again. */
    public void recordSuccess(String server) {
        pauses.computeIfPresent(server, (name, last) -> new Pause(Duration.ZERO, last.untilNanos));
    }

    /** Returns whether the server is to be left alone. */
    public boolean isPaused(String server, long nowNanos) {
        Pause last = pauses.get(server);
        return last != null && nowNanos - last.untilNanos < 0;
    }

    private record Pause(Duration length, long untilNanos) {}
}
