package io.coppershelf.bench.backend;

import com.sun.net.httpserver.HttpExchange;
import java.util.concurrent.atomic.AtomicReference;

/** One request that a backend server has received. */
final class Work {
    /** The processing state of a request. */
    enum State {
        WAITING,
        RUNNING,
        FINISHED,
        CANCELLED
    }

    private final HttpExchange exchange;
    private final String attemptId;
    private final AtomicReference<State> state = new AtomicReference<>(State.WAITING);
    private final long deadlineNanos;

    Work(HttpExchange exchange, String attemptId, long deadlineNanos) {
        this.exchange = exchange;
        this.attemptId = attemptId;
        this.deadlineNanos = deadlineNanos;
    }

    HttpExchange exchange() {
        return exchange;
    }

    String attemptId() {
        return attemptId;
    }

    long deadlineNanos() {
        return deadlineNanos;
    }

    State state() {
        return state.get();
    }

    /** Moves to the next state if the work is in the expected one, and returns whether it was. */
    boolean advance(State expected, State next) {
        return state.compareAndSet(expected, next);
    }

    String header(String name) {
        String value = exchange.getRequestHeaders().getFirst(name);
        return value == null ? "" : value;
    }
}
