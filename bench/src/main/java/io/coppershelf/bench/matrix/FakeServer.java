package io.coppershelf.bench.matrix;

import io.coppershelf.outcome.ErrorKind;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/** A backend server with the fault switches of the matrix, and the results that the HTTP client makes of it. */
final class FakeServer {
    private static final Duration RUN_TIME = Duration.ofMillis(30);
    private static final Duration LATE_BY = Duration.ofSeconds(5);

    private final String name;
    private final VirtualNetwork network;
    private final Consumer<Step> reached;
    private final Map<String, Consumer<Result>> unstarted = new HashMap<>();
    private final List<String> received = new ArrayList<>();
    private final List<String> executed = new ArrayList<>();
    private Optional<Fault> fault = Optional.empty();

    FakeServer(String name, VirtualNetwork network, Consumer<Step> reached) {
        this.name = name;
        this.network = network;
        this.reached = reached;
    }

    String name() {
        return name;
    }

    void injectFault(Fault now) {
        fault = Optional.of(now);
    }

    /** Returns the tries that arrived, in order. */
    List<String> received() {
        return received;
    }

    /** Returns the tries that ran, in order. */
    List<String> executed() {
        return executed;
    }

    /** Takes a try; the result goes to the given receiver on the server's side. */
    void receive(String attemptId, Consumer<Result> result) {
        received.add(attemptId);
        unstarted.put(attemptId, result);
        if (is(Fault.SERVER_STALLED)) {
            return;
        }
        unstarted.remove(attemptId);
        reached.accept(Step.RUNNING);
        network.after(name, RUN_TIME, () -> run(attemptId, result));
    }

    /** Cancels a try; returns whether the server gives its word that it had not started it. */
    boolean cancel(String attemptId) {
        return unstarted.remove(attemptId) != null;
    }

    private void run(String attemptId, Consumer<Result> result) {
        executed.add(attemptId);
        reached.accept(Step.ANSWERING);
        Result whole = new Result(Optional.of(bodyOf(attemptId)), Optional.empty());
        if (is(Fault.SERVER_DIES_AFTER_RUN)) {
            result.accept(failed(ErrorKind.SERVER_LOST));
        } else if (is(Fault.ANSWER_TRUNCATED)) {
            result.accept(failed(ErrorKind.ANSWER_TRUNCATED));
        } else if (is(Fault.ANSWER_CROSSED)) {
            result.accept(failed(ErrorKind.ANSWER_FOREIGN));
        } else if (is(Fault.ANSWER_LATE)) {
            network.after(name, LATE_BY, () -> result.accept(whole));
        } else {
            result.accept(whole);
            if (is(Fault.ANSWER_TWICE)) {
                result.accept(whole);
            }
        }
    }

    static String bodyOf(String attemptId) {
        return "answer to " + attemptId.substring(0, attemptId.indexOf('/'));
    }

    private static Result failed(ErrorKind error) {
        return new Result(Optional.empty(), Optional.of(error));
    }

    private boolean is(Fault expected) {
        return fault.equals(Optional.of(expected));
    }

    /** What the HTTP client hands on. */
    record Result(Optional<String> body, Optional<ErrorKind> error) {}
}
