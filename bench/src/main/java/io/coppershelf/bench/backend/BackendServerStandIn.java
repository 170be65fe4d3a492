package io.coppershelf.bench.backend;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.coppershelf.ticket.ServerSpec;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Stand-in for one backend server: runs as many requests at once as it has slots, queues as many more, and sheds the
 * rest.
 *
 * <p>The header {@code X-Work-Micros} of a request sets its service time. An injected fault changes how the server
 * handles requests.
 */
final class BackendServerStandIn {
    private static final int ACCEPT_BACKLOG = 330;
    private static final int QUEUE_PER_SLOT = 1;
    private static final long STALL_CHECK_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

    private final ServerSpec spec;
    private final ExecutionLog log;
    private final ScheduledExecutorService timer;
    private final WorkAnswers answers = new WorkAnswers();
    private final Map<String, Work> acceptedByAttemptId = new ConcurrentHashMap<>();
    private final Deque<Work> waiting = new ArrayDeque<>();
    private volatile Optional<ActiveFault> fault = Optional.empty();
    private int running;
    private HttpServer http;

    BackendServerStandIn(ServerSpec spec, ExecutionLog log, ScheduledExecutorService timer) {
        this.spec = spec;
        this.log = log;
        this.timer = timer;
    }

    ServerSpec spec() {
        return spec;
    }

    void start(Executor executor) throws IOException {
        http = HttpServer.create(new InetSocketAddress(spec.host(), spec.port()), ACCEPT_BACKLOG);
        http.setExecutor(executor);
        http.createContext("/coppershelf/health", this::answerProbe);
        http.createContext("/coppershelf/cancel/", this::cancel);
        http.createContext("/", this::accept);
        http.start();
    }

    void stop() {
        http.stop(0);
    }

    void setFault(Optional<ActiveFault> newFault) {
        fault = newFault;
        timer.execute(this::runWaiting);
    }

    private void answerProbe(HttpExchange exchange) throws IOException {
        exchange.getResponseHeaders().set(BackendHeaders.SERVER_STATE, stateHeader());
        int load = isFault(ServerFault.MISREPORT) ? 0 : load();
        answers.sendText(exchange, 200, "{\"load\":" + load + "}");
    }

    private synchronized int load() {
        return running + waiting.size();
    }

    private void cancel(HttpExchange exchange) throws IOException {
        String path = exchange.getRequestURI().getPath();
        Work work = acceptedByAttemptId.get(path.substring("/coppershelf/cancel/".length()));
        String execution = "unknown";
        if (work != null) {
            execution = cancelWork(work);
        }
        exchange.getResponseHeaders().set(BackendHeaders.ATTEMPT_ID, header(exchange, BackendHeaders.ATTEMPT_ID));
        exchange.getResponseHeaders().set(BackendHeaders.EXECUTION, execution);
        answers.sendText(exchange, 200, "");
    }

    private String cancelWork(Work work) {
        if (work.advance(Work.State.WAITING, Work.State.CANCELLED)) {
            synchronized (this) {
                waiting.remove(work);
            }
            answers.reject(work, 503, stateHeader());
            acceptedByAttemptId.remove(work.attemptId());
            return "not-started";
        }
        return switch (work.state()) {
            case CANCELLED -> "not-started";
            case FINISHED -> "finished";
            default -> "started";
        };
    }

    private void accept(HttpExchange exchange) throws IOException {
        log.recordReceived(spec.name());
        exchange.getRequestBody().readAllBytes();
        String attemptId = header(exchange, BackendHeaders.ATTEMPT_ID);
        String deadline = header(exchange, BackendHeaders.DEADLINE_MS);
        long millis = deadline.isEmpty() ? TimeUnit.MINUTES.toMillis(1) : Long.parseLong(deadline);
        Work work = new Work(exchange, attemptId, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis));
        if (isFault(ServerFault.SHED) || isFault(ServerFault.DRAIN) || !enqueue(work)) {
            work.advance(Work.State.WAITING, Work.State.CANCELLED);
            answers.reject(work, 503, isFault(ServerFault.DRAIN) ? "draining" : "shedding");
            return;
        }
        runWaiting();
    }

    private synchronized boolean enqueue(Work work) {
        if (running + waiting.size() >= spec.slots() * (1 + QUEUE_PER_SLOT)) {
            return false;
        }
        acceptedByAttemptId.put(work.attemptId(), work);
        waiting.add(work);
        return true;
    }

    private void runWaiting() {
        for (Optional<Work> next = nextToRun(); next.isPresent(); next = nextToRun()) {
            run(next.get());
        }
    }

    private synchronized Optional<Work> nextToRun() {
        boolean isStalling = fault.map(active -> active.isStalling(System.currentTimeMillis()))
                .orElse(false);
        if (waiting.isEmpty() || running >= spec.slots()) {
            return Optional.empty();
        }
        if (isStalling || isDelayedPastDeadline(waiting.peek())) {
            timer.schedule(this::runWaiting, STALL_CHECK_NANOS, TimeUnit.NANOSECONDS);
            return Optional.empty();
        }
        running++;
        return Optional.of(waiting.remove());
    }

    private boolean isDelayedPastDeadline(Work work) {
        return isFault(ServerFault.LATE) && System.nanoTime() < work.deadlineNanos();
    }

    private void run(Work work) {
        boolean expired = System.nanoTime() > work.deadlineNanos() && !isFault(ServerFault.LATE);
        if (expired) {
            boolean cancelled = work.advance(Work.State.WAITING, Work.State.CANCELLED);
            release(work);
            if (cancelled) {
                answers.reject(work, 504, stateHeader());
            }
            return;
        }
        if (!work.advance(Work.State.WAITING, Work.State.RUNNING)) {
            release(work);
            return;
        }
        log.recordStart(spec.name(), work.header(BackendHeaders.WORK_ID));
        String micros = work.header(BackendHeaders.WORK_MICROS);
        double slowdown = fault.map(ActiveFault::slowdown).orElse(1.0);
        long duration = Math.round(slowdown * (micros.isEmpty() ? 0 : Long.parseLong(micros)));
        if (duration == 0) {
            finish(work);
            return;
        }
        timer.schedule(() -> finish(work), duration, TimeUnit.MICROSECONDS);
    }

    private void finish(Work work) {
        work.advance(Work.State.RUNNING, Work.State.FINISHED);
        release(work);
        answers.answer(work, fault, stateHeader());
        runWaiting();
    }

    private synchronized void release(Work work) {
        running--;
        acceptedByAttemptId.remove(work.attemptId());
    }

    private boolean isFault(ServerFault candidate) {
        return fault.filter(active -> active.fault() == candidate).isPresent();
    }

    private String stateHeader() {
        return fault.map(ActiveFault::fault)
                .map(active -> switch (active) {
                    case COLD -> "cold";
                    case DRAIN -> "draining";
                    case SHED -> "shedding";
                    default -> "ready";
                })
                .orElse("ready");
    }

    private static String header(HttpExchange exchange, String name) {
        return Optional.ofNullable(exchange.getRequestHeaders().getFirst(name)).orElse("");
    }
}
