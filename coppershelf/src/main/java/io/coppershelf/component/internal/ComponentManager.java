package io.coppershelf.component.internal;

import com.google.common.flogger.FluentLogger;
import io.coppershelf.component.Component;
import io.coppershelf.component.ComponentRegistry;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * Starts the components of a process in the given order and stops them in reverse order.
 *
 * <p>If a component fails to start, the components started before it are stopped and the exception is rethrown.
 */
public final class ComponentManager {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final ComponentRegistry registry;
    private final List<Component> components;
    private final Deque<Component> started = new ArrayDeque<>();

    /** Creates a manager of the given components, in the order of their start. */
    public ComponentManager(ComponentRegistry registry, List<Component> components) {
        this.registry = registry;
        this.components = List.copyOf(components);
    }

    /** Lets all components register their interfaces, then starts them. */
    public void start() {
        components.forEach(component -> component.register(registry));
        for (Component component : components) {
            startComponent(component);
        }
    }

    private void startComponent(Component component) {
        try {
            component.start(registry);
            started.push(component);
        } catch (RuntimeException e) {
            logger.atSevere().log("[daemon] Component %s failed to start.", component.name());
            stop(Duration.ZERO);
            throw e;
        }
    }

    /**
     * Announces the stop to all components, then stops them in the reverse order of their start.
     *
     * @param limit the time limit for all components together
     */
    public void stop(Duration limit) {
        long endNanos = System.nanoTime() + limit.toNanos();
        started.forEach(component -> runStep(component, "announce the stop of", component::announceStop));
        while (!started.isEmpty()) {
            Component component = started.pop();
            Duration remaining = Duration.ofNanos(Math.max(0, endNanos - System.nanoTime()));
            runStep(component, "stop", () -> component.stop(remaining));
        }
    }

    private static void runStep(Component component, String step, Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            logger.atSevere().withCause(e).log("[daemon] Failed to %s component %s.", step, component.name());
        }
    }
}
