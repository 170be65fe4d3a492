package io.coppershelf.component;

import java.time.Duration;

/**
 * One part of the daemon. The kernel starts the parts in the order given and stops them in the reverse order.
 *
 * <p>A part registers what it offers in {@link #register} and looks up what it needs in {@link #start}, so that parts
 * may need each other.
 */
public interface Component {
    /** Returns the name of the part, also the prefix of its log lines. */
    String name();

    /** Registers the services that this part offers. */
    void register(ComponentRegistry registry);

    /** Looks up the services of other parts and begins work. */
    void start(ComponentRegistry registry);

    /**
     * Hears that the process is about to stop, before any part is stopped: the part tells the outside that new work
     * should go elsewhere, and goes on with its own.
     */
    default void announceStop() {}

    /**
     * Takes no new work and finishes what is under way, for at most {@code limit}.
     *
     * @param limit the time after which the part gives up what is left
     */
    void stop(Duration limit);
}
