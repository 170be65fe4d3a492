package io.coppershelf.bench.matrix;

import io.coppershelf.outcome.ErrorKind;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * A simulated backend server into which the faults of the matrix can be injected. It returns the results that the HTTP
 * client would derive from the server's answers.
 */
final class FakeServer {
    private static final Duration RUN_TIME = Duration.ofMillis(30);
    private static final Duration ANSWER_DELAY = Duration.ofSeconds(5);

    private final String name;
    private final VirtualNetwork network;
    private final Consumer<Step> stepListener;
    private final Map<String, Consumer<Result>> notStarted = new HashMap<>();
    private final List<String> received = new ArrayList<>();
    private final List<String> executed = new ArrayList<>();
    private Optional<Fault> fault = Optional.empty();

    FakeServer(String name, VirtualNetwork network, Consumer<Step> stepListener) {
        this.name = name;
        this.network = network;
        this.stepListener = stepListener;
    }

    String name() {
        return name;
    }

    void injectFault(Fault injected) {
        fault = Optional.of(injected);
    }

    /** Returns the ids of the received attempts, in order. */
    List<String> received() {
        return received;
    }

    /** Returns the ids of the executed attempts, in order. */
    List<String> executed() {
        return executed;
    }

    /** Receives an attempt; the result is passed to the consumer on the server's side of the network. */
    void receive(String attemptId, Consumer<Result> result) {
        received.add(attemptId);
        notStarted.put(attemptId, result);
        if (is(Fault.SERVER_STALLED)) {
            return;
        }
        notStarted.remove(attemptId);
        stepListener.accept(Step.RUNNING);
        network.after(name, RUN_TIME, () -> run(attemptId, result));
    }

    /** Cancels an attempt; returns whether the server confirms that the attempt had not started. */
    boolean cancel(String attemptId) {
        return notStarted.remove(attemptId) != null;
    }

    private void run(String attemptId, Consumer<Result> result) {
        executed.add(attemptId);
        stepListener.accept(Step.ANSWERING);
        Result complete = new Result(Optional.of(bodyOf(attemptId)), Optional.empty());
        if (is(Fault.SERVER_DIES_AFTER_RUN)) {
            result.accept(failed(ErrorKind.SERVER_LOST));
        } else if (is(Fault.ANSWER_TRUNCATED)) {
            result.accept(failed(ErrorKind.ANSWER_TRUNCATED));
        } else if (is(Fault.ANSWER_CROSSED)) {
            result.accept(failed(ErrorKind.ANSWER_FOREIGN));
        } else if (is(Fault.ANSWER_LATE)) {
            network.after(name, ANSWER_DELAY, () -> result.accept(complete));
        } else {
            result.accept(complete);
            if (is(Fault.ANSWER_TWICE)) {
                result.accept(complete);
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

    /** The result of an attempt as the HTTP client returns it. */
    record Result(Optional<String> body, Optional<ErrorKind> error) {}
}
