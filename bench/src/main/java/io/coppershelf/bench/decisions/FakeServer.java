package io.coppershelf.bench.decisions;

import io.coppershelf.backend.BackendResult.ServerState;
import io.coppershelf.outcome.ErrorKind;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * A simulated backend server: runs attempts in its slots, sheds those beyond, and fails according to the fault plan.
 */
final class FakeServer {
    private final String name;
    private final int slots;
    private final FaultPlan plan;
    private final VirtualTime time;
    private final RandomGenerator random;
    private final Map<String, Run> running = new HashMap<>();

    /**
     * The end of an attempt on the server.
     *
     * @param status the HTTP status of an answer
     * @param error the error if there is no answer
     * @param state the state that the server reports
     */
    record Answer(Optional<Integer> status, Optional<ErrorKind> error, ServerState state) {}

    private record Run(Consumer<Answer> reply) {}

    FakeServer(String name, int slots, FaultPlan plan, VirtualTime time, RandomGenerator random) {
        this.name = name;
        this.slots = slots;
        this.plan = plan;
        this.time = time;
        this.random = random;
    }

    /** Receives an attempt. The reply is never called if the server doesn't recover from a stall. */
    void start(Attempt attempt, Consumer<Answer> reply) {
        ServerState state = plan.reportedState(name, time.now());
        if (state == ServerState.DRAINING) {
            refuse(state, reply);
            return;
        }
        boolean stalled = plan.speed(name).speedAt(time.now()) == 0;
        boolean full = running.size() >= slots;
        if (!stalled && (full || random.nextDouble() < plan.shedShare(time.now()))) {
            refuse(ServerState.SHEDDING, reply);
            return;
        }
        if (!full) {
            run(attempt, reply);
        }
    }

    private void run(Attempt attempt, Consumer<Answer> reply) {
        attempt.request().recordRun();
        Run run = new Run(reply);
        running.put(attempt.attemptId(), run);
        long work = attempt.request().kind().drawNanos(random);
        OptionalLong end = plan.speed(name).finish(time.now(), work);
        end.ifPresent(nanos -> time.at(nanos, () -> finish(attempt, run)));
    }

    private void finish(Attempt attempt, Run run) {
        if (!running.remove(attempt.attemptId(), run)) {
            return;
        }
        boolean error =
                random.nextDouble() < plan.errorShare(name, attempt.request().kind(), time.now());
        run.reply()
                .accept(new Answer(
                        Optional.of(error ? 500 : 200), Optional.empty(), plan.reportedState(name, time.now())));
    }

    private static void refuse(ServerState state, Consumer<Answer> reply) {
        reply.accept(new Answer(Optional.empty(), Optional.of(ErrorKind.SERVER_REFUSED), state));
    }

    /** Cancels an attempt that has started; a stalled server ignores it. */
    void cancel(String attemptId) {
        if (plan.speed(name).speedAt(time.now()) > 0) {
            running.remove(attemptId);
        }
    }

    /** Returns the number of attempts in progress. */
    int load() {
        return running.size();
    }

    /** Returns the number of slots. */
    int slots() {
        return slots;
    }
}
