package io.coppershelf.daemon;

import com.google.common.flogger.FluentLogger;
import io.coppershelf.caller.CallerComponent;
import io.coppershelf.component.Component;
import io.coppershelf.component.ComponentRegistry;
import io.coppershelf.component.ControlThread;
import io.coppershelf.component.TimeSource;
import io.coppershelf.component.internal.ComponentManager;
import io.coppershelf.component.internal.SingleControlThread;
import io.coppershelf.membership.LeaveNotice;
import io.coppershelf.settings.Settings;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;

/**
 * The daemon of an entry VM.
 *
 * <pre>{@code
 * Daemon daemon = Daemon.start(settings);
 * daemon.stop();
 * }</pre>
 */
public final class Daemon {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int EXIT_OK = 0;

    private final ComponentRegistry registry;
    private final ComponentManager kernel;
    private final SingleControlThread control;
    private final CallerComponent caller;
    private final Duration stopLimit;
    private boolean isStopped;

    private Daemon(
            ComponentRegistry registry,
            ComponentManager kernel,
            SingleControlThread control,
            CallerComponent caller,
            Duration stopLimit) {
        this.registry = registry;
        this.kernel = kernel;
        this.control = control;
        this.caller = caller;
        this.stopLimit = stopLimit;
    }

    /** Starts all parts. */
    public static Daemon start(Settings settings) {
        CallerComponent caller = new CallerComponent();
        return start(settings, DaemonComponents.beforeCaller(), caller);
    }

    /** Starts the given parts and, after them, the one for callers. */
    static Daemon start(Settings settings, List<Component> parts, CallerComponent caller) {
        SingleControlThread control = new SingleControlThread();
        ComponentRegistry registry = new ComponentRegistry();
        registry.register(Settings.NAME, settings);
        registry.register(TimeSource.NAME, TimeSource.system());
        registry.register(ControlThread.NAME, control);
        List<Component> all = new ArrayList<>(parts);
        all.add(caller);
        ComponentManager kernel = new ComponentManager(registry, all);
        try {
            kernel.start();
        } catch (RuntimeException e) {
            control.close();
            throw e;
        }
        logger.atInfo().log("[kernel] VM %s started.", settings.vm());
        return new Daemon(registry, kernel, control, caller, Duration.ofSeconds(settings.stopSeconds()));
    }

    /**
     * Starts all parts and returns only when the process is told to end. On a termination signal all parts are stopped
     * and the process exits with status 0.
     */
    public static void runUntilTerminated(Settings settings) throws InterruptedException {
        runUntilTerminated(settings, List.of());
    }

    /**
     * Does the same with some parts started before all others.
     *
     * @param first the parts to start first
     */
    public static void runUntilTerminated(Settings settings, List<Component> first) throws InterruptedException {
        List<Component> parts = new ArrayList<>(first);
        parts.addAll(DaemonComponents.beforeCaller());
        Daemon daemon = start(settings, parts, new CallerComponent());
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            daemon.stop();
                            Runtime.getRuntime().halt(EXIT_OK);
                        },
                        "stop"));
        new CountDownLatch(1).await();
    }

    /** Returns the address on which callers are served. */
    public InetSocketAddress callerAddress() {
        return caller.address();
    }

    /** Stops all parts: no new work, what is under way is finished or truthfully answered. */
    public synchronized void stop() {
        if (isStopped) {
            return;
        }
        isStopped = true;
        registry.find(LeaveNotice.NAME).ifPresent(LeaveNotice::leave);
        kernel.stop(stopLimit);
        control.close();
        logger.atInfo().log("[kernel] Stopped.");
    }
}
