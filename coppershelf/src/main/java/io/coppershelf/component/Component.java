package io.coppershelf.component;

import java.time.Duration;

/**
 * A component of the daemon. Components are started in the given order and stopped in reverse order.
 *
 * <p>A component registers what it provides in {@link #register} and looks up its dependencies in {@link #start}, so
 * components may depend on each other.
 */
public interface Component {
    /** Returns the name of the component, which is also the prefix of its log lines. */
    String name();

    /** Registers the interfaces that this component provides. */
    void register(ComponentRegistry registry);

    /** Looks up the dependencies of this component and starts it. */
    void start(ComponentRegistry registry);

    /**
     * Called when the process is about to stop, before any component is stopped. The component announces that new work
     * should go elsewhere, and continues its current work.
     */
    default void announceStop() {}

    /**
     * Accepts no new work and finishes the work in progress, for at most {@code limit}.
     *
     * @param limit the time after which remaining work is abandoned
     */
    void stop(Duration limit);
}
