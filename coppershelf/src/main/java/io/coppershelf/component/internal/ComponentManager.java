package io.coppershelf.component.internal;

import com.google.common.flogger.FluentLogger;
import io.coppershelf.component.Component;
import io.coppershelf.component.ComponentRegistry;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * Starts the parts of a process in the order given and stops them in the reverse order.
 *
 * <p>If a part fails to start, those started before it are stopped and the failure goes on to the caller.
 */
public final class ComponentManager {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final ComponentRegistry registry;
    private final List<Component> parts;
    private final Deque<Component> started = new ArrayDeque<>();

    /** Creates a kernel with the given parts, in the order of their start. */
    public ComponentManager(ComponentRegistry registry, List<Component> parts) {
        this.registry = registry;
        this.parts = List.copyOf(parts);
    }

    /** Registers the services of all parts, then starts them. */
    public void start() {
        parts.forEach(part -> part.register(registry));
        for (Component part : parts) {
            startPart(part);
        }
    }

    private void startPart(Component part) {
        try {
            part.start(registry);
            started.push(part);
        } catch (RuntimeException e) {
            logger.atSevere().log("[kernel] Part %s did not start.", part.name());
            stop(Duration.ZERO);
            throw e;
        }
    }

    /**
     * Announces the stop to all parts, then stops them in the reverse order of their start.
     *
     * @param limit the longest time for all parts together
     */
    public void stop(Duration limit) {
        long end = System.nanoTime() + limit.toNanos();
        started.forEach(part -> attempt(part, "announce the stop of", part::announceStop));
        while (!started.isEmpty()) {
            Component part = started.pop();
            Duration left = Duration.ofNanos(Math.max(0, end - System.nanoTime()));
            attempt(part, "stop", () -> part.stop(left));
        }
    }

    private static void attempt(Component part, String step, Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            logger.atSevere().withCause(e).log("[kernel] Failed to %s part %s.", step, part.name());
        }
    }
}
