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
    /** The time without a request under way after which the port is closed. */
    private static final Duration QUIET_BEFORE_CLOSE = Duration.ofMillis(200);

    private static final Duration STOP_POLL_INTERVAL = Duration.ofMillis(10);
    private static final int BACKLOG_CONNECTIONS = 1_024;
    private static final int LEAST_THREADS = 64;
    private static final int IDLE_THREAD_SECONDS = 30;

    private final HttpServer http;
    private final CallerHandler handler;
    private final ThreadPoolExecutor readers;
    private final ThreadPoolExecutor answers;
    private final ScheduledThreadPoolExecutor timers;

    private CallerServer(
            HttpServer http,
            CallerHandler handler,
            ThreadPoolExecutor readers,
            ThreadPoolExecutor answers,
            ScheduledThreadPoolExecutor timers) {
        this.http = http;
        this.handler = handler;
        this.readers = readers;
        this.answers = answers;
        this.timers = timers;
    }

    /** Starts a server on the address of the settings. */
    public static CallerServer start(ComponentRegistry registry, CallerTimeouts timeouts) {
        Settings settings = registry.require(Settings.NAME);
        Configuration.Source configuration = registry.require(Configuration.Source.NAME);
        TimeSource time = registry.require(TimeSource.NAME);
        OperatorRegistry desk = registry.require(OperatorRegistry.NAME);
        ThreadPoolExecutor readers = pool("caller-reader", settings.trafficThreads());
        ThreadPoolExecutor answers = pool("caller-answer", settings.trafficThreads());
        ScheduledThreadPoolExecutor timers =
                new ScheduledThreadPoolExecutor(1, task -> new Thread(task, "caller-timer"));
        timers.setRemoveOnCancelPolicy(true);
        CallerHandler handler = new CallerHandler(
                configuration,
                registry.require(RequestPipeline.NAME),
                time,
                new CallerMetrics(desk.metrics()),
                new RequestIds(settings.vm(), time.wallMillis()),
                settings.largestHead(),
                timeouts,
                answers,
                timers);
        CallerServer server = new CallerServer(bind(settings), handler, readers, answers, timers);
        server.open();
        return server;
    }

    private static ThreadPoolExecutor pool(String name, int threads) {
        int size = Math.max(LEAST_THREADS, threads);
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
        http.setExecutor(readers);
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

    /** Becomes unready and refuses new requests. */
    public void beginStop() {
        handler.beginStop();
    }

    /** Waits until all requests under way are answered; what is left after the limit is answered as unknown. */
    public void stop(Duration limit) {
        beginStop();
        long end = System.nanoTime() + limit.toNanos();
        long quietSince = System.nanoTime();
        while (System.nanoTime() < end && System.nanoTime() - quietSince < QUIET_BEFORE_CLOSE.toNanos()) {
            LockSupport.parkNanos(STOP_POLL_INTERVAL.toNanos());
            quietSince = handler.open().isEmpty() ? quietSince : System.nanoTime();
        }
        List<CallerExchange> left = List.copyOf(handler.open());
        left.forEach(call -> call.answerAndClose(CallerAnswer.failed(
                call.requestId(),
                ErrorKind.INTERNAL,
                "This VM stopped before the outcome was known.",
                ErrorKind.INTERNAL.retryAfter())));
        http.stop(0);
        readers.shutdown();
        answers.shutdown();
        timers.shutdownNow();
        logger.atInfo().log("[caller] Stopped with %s requests cut off.", left.size());
    }
}
