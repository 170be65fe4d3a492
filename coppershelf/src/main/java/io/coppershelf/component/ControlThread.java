package io.coppershelf.component;

import java.time.Duration;

/** The single thread that owns the control state of a process; traffic threads read snapshots that it publishes. */
public interface ControlThread {
    ComponentKey<ControlThread> NAME = ComponentKey.named("control", ControlThread.class);

    /** Runs the task on the control thread, after those submitted before it. */
    void execute(Runnable task);

    /** Runs the task once, after the delay. */
    void after(Duration delay, Runnable task);

    /** Runs the task repeatedly with a fixed delay between runs; a failed run is logged and does not end the series. */
    void every(Duration interval, Runnable task);
}
