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
    private final ComponentManager manager;
    private final SingleControlThread control;
    private final CallerComponent caller;
    private final Duration stopLimit;
    private boolean isStopped;

    private Daemon(
            ComponentRegistry registry,
            ComponentManager manager,
            SingleControlThread control,
            CallerComponent caller,
            Duration stopLimit) {
        this.registry = registry;
        this.manager = manager;
        this.control = control;
        this.caller = caller;
        this.stopLimit = stopLimit;
    }

    /** Starts all components. */
    public static Daemon start(Settings settings) {
        CallerComponent caller = new CallerComponent();
        return start(settings, DaemonComponents.beforeCaller(), caller);
    }

    /** Starts the given components, then the one for callers. */
    static Daemon start(Settings settings, List<Component> components, CallerComponent caller) {
        SingleControlThread control = new SingleControlThread();
        ComponentRegistry registry = new ComponentRegistry();
        registry.register(Settings.NAME, settings);
        registry.register(TimeSource.NAME, TimeSource.system());
        registry.register(ControlThread.NAME, control);
        List<Component> all = new ArrayList<>(components);
        all.add(caller);
        ComponentManager manager = new ComponentManager(registry, all);
        try {
            manager.start();
        } catch (RuntimeException e) {
            control.close();
            throw e;
        }
        logger.atInfo().log("[daemon] VM %s started.", settings.vm());
        return new Daemon(registry, manager, control, caller, Duration.ofSeconds(settings.stopSeconds()));
    }

    /**
     * Starts all components and blocks until the process is terminated. On a termination signal all components are
     * stopped and the process exits with status 0.
     */
    public static void runUntilTerminated(Settings settings) throws InterruptedException {
        runUntilTerminated(settings, List.of());
    }

    /**
     * Starts all components, the given ones first, and blocks until the process is terminated.
     *
     * @param first the components to start first
     */
    public static void runUntilTerminated(Settings settings, List<Component> first) throws InterruptedException {
        List<Component> components = new ArrayList<>(first);
        components.addAll(DaemonComponents.beforeCaller());
        Daemon daemon = start(settings, components, new CallerComponent());
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

    /**
     * Stops all components. New requests are refused; requests in flight are finished or answered with their true
     * outcome.
     */
    public synchronized void stop() {
        if (isStopped) {
            return;
        }
        isStopped = true;
        registry.find(LeaveNotice.NAME).ifPresent(LeaveNotice::leave);
        manager.stop(stopLimit);
        control.close();
        logger.atInfo().log("[daemon] Stopped.");
    }
}
