package io.coppershelf.caller.internal;

import com.google.common.flogger.FluentLogger;
import com.sun.net.httpserver.HttpServer;
import io.coppershelf.component.ComponentRegistry;
import io.coppershelf.component.TimeSource;
import io.coppershelf.operator.OperatorRegistry;
import io.coppershelf.outcome.CoppershelfException;
import io.coppershelf.outcome.ErrorKind;
import io.coppershelf.routing.RequestPipeline;
import io.coppershelf.settings.Settings;
import io.coppershelf.ticket.Configuration;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** The HTTP server for callers. */
public final class CallerServer {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** The time without open requests after which a stopping server closes its port. */
    private static final Duration QUIET_TIME_BEFORE_CLOSE = Duration.ofMillis(200);

    private static final Duration STOP_POLL_INTERVAL = Duration.ofMillis(10);
    private static final int BACKLOG_CONNECTIONS = 1_024;
    private static final int MIN_THREADS = 64;
    private static final int IDLE_THREAD_SECONDS = 30;

    private final HttpServer http;
    private final CallerHandler handler;
    private final ThreadPoolExecutor readExecutor;
    private final ThreadPoolExecutor answerExecutor;
    private final ScheduledThreadPoolExecutor timers;

    private CallerServer(
            HttpServer http,
            CallerHandler handler,
            ThreadPoolExecutor readExecutor,
            ThreadPoolExecutor answerExecutor,
            ScheduledThreadPoolExecutor timers) {
        this.http = http;
        this.handler = handler;
        this.readExecutor = readExecutor;
        this.answerExecutor = answerExecutor;
        this.timers = timers;
    }

    /** Starts a server on the address of the settings. */
    public static CallerServer start(ComponentRegistry registry, CallerTimeouts timeouts) {
        Settings settings = registry.require(Settings.NAME);
        Configuration.Source configuration = registry.require(Configuration.Source.NAME);
        TimeSource time = registry.require(TimeSource.NAME);
        OperatorRegistry operatorRegistry = registry.require(OperatorRegistry.NAME);
        ThreadPoolExecutor readExecutor = pool("caller-reader", settings.trafficThreads());
        ThreadPoolExecutor answerExecutor = pool("caller-answer", settings.trafficThreads());
        ScheduledThreadPoolExecutor timers =
                new ScheduledThreadPoolExecutor(1, task -> new Thread(task, "caller-timer"));
        timers.setRemoveOnCancelPolicy(true);
        CallerHandler handler = new CallerHandler(
                configuration,
                registry.require(RequestPipeline.NAME),
                time,
                new CallerMetrics(operatorRegistry.metrics()),
                new RequestIds(settings.vm(), time.wallMillis()),
                settings.largestHead(),
                timeouts,
                answerExecutor,
                timers);
        CallerServer server = new CallerServer(bind(settings), handler, readExecutor, answerExecutor, timers);
        server.open();
        return server;
    }

    private static ThreadPoolExecutor pool(String name, int threads) {
        int size = Math.max(MIN_THREADS, threads);
        ThreadPoolExecutor pool = new ThreadPoolExecutor(
                size,
                size,
                IDLE_THREAD_SECONDS,
                TimeUnit.SECONDS,
                new LinkedBlockingQueue<>(),
                task -> new Thread(task, name));
        pool.allowCoreThreadTimeOut(true);
        return pool;
    }

    private static HttpServer bind(Settings settings) {
        try {
            return HttpServer.create(
                    new InetSocketAddress(settings.host(), settings.callerPort()), BACKLOG_CONNECTIONS);
        } catch (IOException e) {
            throw CoppershelfException.causedBy(
                    ErrorKind.INVALID_SETTINGS,
                    "can't listen for callers on " + settings.host() + ":" + settings.callerPort(),
                    e);
        }
    }

    private void open() {
        http.setExecutor(readExecutor);
        http.createContext("/", handler);
        http.start();
        logger.atInfo().log("[caller] Listening on %s.", http.getAddress());
    }

    /** Returns the address on which the server listens. */
    public InetSocketAddress address() {
        return http.getAddress();
    }

    /** Returns whether new requests are served. */
    public boolean isServing() {
        return handler.isServing();
    }

    /** Marks the server as not ready and refuses new requests. */
    public void beginStop() {
        handler.beginStop();
    }

    /**
     * Waits until all open requests are answered; requests that are unanswered after the limit are answered with an
     * unknown outcome.
     */
    public void stop(Duration limit) {
        beginStop();
        long endNanos = System.nanoTime() + limit.toNanos();
        long quietSinceNanos = System.nanoTime();
        while (System.nanoTime() < endNanos
                && System.nanoTime() - quietSinceNanos < QUIET_TIME_BEFORE_CLOSE.toNanos()) {
            LockSupport.parkNanos(STOP_POLL_INTERVAL.toNanos());
            quietSinceNanos = handler.openExchanges().isEmpty() ? quietSinceNanos : System.nanoTime();
        }
        List<CallerExchange> unanswered = List.copyOf(handler.openExchanges());
        unanswered.forEach(call -> call.answerAndClose(CallerAnswer.failed(
                call.requestId(),
                ErrorKind.INTERNAL,
                "This VM stopped before the outcome was known.",
                ErrorKind.INTERNAL.retryAfter())));
        http.stop(0);
        readExecutor.shutdown();
        answerExecutor.shutdown();
        timers.shutdownNow();
        logger.atInfo().log("[caller] Stopped with %s requests cut off.", unanswered.size());
    }
}
