package io.coppershelf.admission.internal;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * An exponential backoff for servers that refuse attempts: each refusal without a success in between doubles the pause.
 */
public final class ShedBackoff {
    private static final Duration INITIAL_PAUSE = Duration.ofMillis(10);
    private static final Duration MAX_PAUSE = Duration.ofSeconds(1);

    private final Map<String, Pause> pauses = new HashMap<>();

    /** Records that the server refused an attempt. */
    public void recordRefusal(String server, long nowNanos) {
        Pause last = pauses.get(server);
        if (last != null && nowNanos - last.untilNanos < 0) {
            return;
        }
        Duration length = last == null || last.length.isZero() ? INITIAL_PAUSE : last.length.multipliedBy(2);
        Duration limited = length.compareTo(MAX_PAUSE) > 0 ? MAX_PAUSE : length;
        pauses.put(server, new Pause(limited, nowNanos + limited.toNanos()));
    }

    /** Records that the server ran an attempt, which resets the length of the next pause. */
    public void recordSuccess(String server) {
        pauses.computeIfPresent(server, (name, last) -> new Pause(Duration.ZERO, last.untilNanos));
    }

    /** Returns whether the server is paused. */
    public boolean isPaused(String server, long nowNanos) {
        Pause last = pauses.get(server);
        return last != null && nowNanos - last.untilNanos < 0;
    }

    private record Pause(Duration length, long untilNanos) {}
}
