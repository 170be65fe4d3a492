package io.coppershelf.bench.matrix;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.coppershelf.outcome.ErrorKind;
import io.coppershelf.outcome.Outcome;
import io.coppershelf.routing.RequestResult;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Injects every fault at every step and checks the invariants. A cell that can't occur has a reason. */
class FaultMatrixTest {
    private static final List<String> VICTIMS =
            List.of("entry-a", "owner-a", "holder-a", "holder-b", "holder-e", "entry-b", "owner-b");
    private static final Duration ANSWER_MARGIN = Duration.ofMillis(600);

    static Stream<Arguments> possibleCells() {
        return cells().filter(cell -> reason(cell).isEmpty());
    }

    static Stream<Arguments> impossibleCells() {
        return cells().filter(cell -> reason(cell).isPresent())
                .map(cell ->
                        Arguments.of(cell.get()[0], cell.get()[1], reason(cell).orElse("")));
    }

    private static Optional<String> reason(Arguments cell) {
        return reasonImpossible((Fault) cell.get()[0], (Step) cell.get()[1]);
    }

    private static Stream<Arguments> cells() {
        return Arrays.stream(Fault.values())
                .flatMap(fault -> Arrays.stream(Step.values()).map(step -> Arguments.of(fault, step)));
    }

    @ParameterizedTest(name = "{0} at {1}")
    @MethodSource("possibleCells")
    void invariantsHold(Fault fault, Step step) {
        if (step == Step.TICKET_HALF_SPREAD || (step == Step.START && fault.isOfPlatform())) {
            checkTickets(fault);
        } else if (step == Step.EJECTION_HALF_GRANTED) {
            checkFloor(fault);
        } else {
            victims(fault).forEach(victim -> checkRequest(fault, step, victim));
        }
    }

    @ParameterizedTest(name = "{0} at {1} can''t occur: {2}")
    @MethodSource("impossibleCells")
    void cellThatCannotOccurHasAReason(Fault fault, Step step, String reason) {
        assertWithMessage("%s at %s", fault, step).that(reason).isNotEmpty();
    }

    @Test
    void everyCellIsEitherTestedOrListedAsImpossible() {
        assertThat(possibleCells().count()).isEqualTo(115);
        assertThat(impossibleCells().count()).isEqualTo(55);
    }

    private static Optional<String> reasonImpossible(Fault fault, Step step) {
        if (step == Step.TICKET_HALF_SPREAD) {
            return fault.isOfServer() ? Optional.of("no backend server takes part in the spread") : Optional.empty();
        }
        if (step == Step.EJECTION_HALF_GRANTED) {
            boolean isDrain = fault == Fault.DRAIN_DURING_WORK;
            return fault.isOfVms() || isDrain
                    ? Optional.empty()
                    : Optional.of("a grant is requested and issued without the platform and the server");
        }
        if (fault.isOfPlatform()) {
            return step == Step.START ? Optional.empty() : Optional.of("no request waits for the platform");
        }
        if (fault.isOfServer() && step == Step.START) {
            return Optional.of("a VM that starts has no attempt in flight to a server");
        }
        if (fault == Fault.SERVER_STALLED && (step == Step.RUNNING || step == Step.ANSWERING || step == Step.STOP)) {
            return Optional.of("the server has started the request already");
        }
        return Optional.empty();
    }

    private static List<String> victims(Fault fault) {
        boolean hasVictim = fault.isOfVms() && fault != Fault.SPLIT;
        return hasVictim ? VICTIMS : List.of("none");
    }

    private static void checkRequest(Fault fault, Step step, String victim) {
        RequestSimulation simulation = new RequestSimulation(step, fault, victim);
        simulation.run();
        String cell = fault + " at " + step + " of " + victim;
        assertWithMessage("%s, fault injected", cell)
                .that(simulation.isFaultInjected())
                .isTrue();
        List<String> executed = simulation.executed();
        assertWithMessage("%s, attempts executed", cell).that(executed.size()).isAtMost(1);
        simulation.requests().forEach(request -> checkOutcome(cell, request, executed));
        if (fault == Fault.DRAIN_DURING_WORK) {
            assertWithMessage("%s, attempts received by the draining server", cell)
                    .that(simulation.receivedByDraining().size())
                    .isAtMost(1);
            assertWithMessage("%s, answer to the request in progress", cell)
                    .that(simulation.requests().get(0).result().flatMap(RequestResult::answer))
                    .isPresent();
        }
        checkAnsweredInTime(cell, fault, victim, simulation);
    }

    private static void checkOutcome(String cell, CallerRequest request, List<String> executed) {
        Optional<RequestResult> result = request.result();
        Outcome outcome =
                result.flatMap(RequestResult::error).map(ErrorKind::outcome).orElse(Outcome.UNKNOWN);
        boolean ran = executed.stream().anyMatch(id -> id.startsWith(request.id() + "/"));
        assertWithMessage("%s, %s reported as not run but executed", cell, request.id())
                .that(outcome == Outcome.NOT_RUN && ran)
                .isFalse();
        result.flatMap(RequestResult::answer).ifPresent(answer -> {
            assertWithMessage("%s, executions of an answered request", cell)
                    .that(executed)
                    .hasSize(1);
            assertWithMessage("%s, answer", cell)
                    .that(new String(answer.body(), StandardCharsets.UTF_8))
                    .isEqualTo(FakeServer.bodyOf(executed.get(0)));
        });
    }

    /** Checks that each caller receives a result in time, unless its own entry VM is down or paused. */
    private static void checkAnsweredInTime(String cell, Fault fault, String victim, RequestSimulation simulation) {
        for (CallerRequest request : simulation.requests()) {
            boolean isEntryDown = request.vm().equals(victim) && fault != Fault.CUT_IN && fault != Fault.CUT_OUT;
            if (isEntryDown) {
                continue;
            }
            assertWithMessage("%s, result of %s", cell, request.id())
                    .that(request.result().isPresent())
                    .isTrue();
            assertWithMessage("%s, time of %s", cell, request.id())
                    .that(request.resultNanos() - request.startNanos())
                    .isAtMost(CallerRequest.DEADLINE.plus(ANSWER_MARGIN).toNanos());
        }
    }

    private static void checkTickets(Fault fault) {
        TicketSimulation simulation = new TicketSimulation();
        simulation.run(fault);
        assertWithMessage("%s, reverts", fault).that(simulation.reverts()).isEmpty();
        assertWithMessage("%s, digests", fault)
                .that(simulation.digests().stream().distinct().count())
                .isEqualTo(1);
        if (fault != Fault.VM_KILLED && fault != Fault.VM_RESTARTED) {
            assertWithMessage("%s, ticket in force", fault)
                    .that(simulation.inForce().get(0))
                    .isAtLeast(2L);
        }
        if (fault == Fault.TWO_TICKETS_ONE_NUMBER) {
            assertWithMessage("VMs that detect the conflict")
                    .that(simulation.vmsWithConflict())
                    .isAtLeast(1L);
        }
    }

    private static void checkFloor(Fault fault) {
        EjectionSimulation simulation = new EjectionSimulation(fault);
        simulation.run();
        assertWithMessage("%s, servers ejected at the same time", fault)
                .that(simulation.maxEjected())
                .isAtMost(EjectionSimulation.SERVERS - EjectionSimulation.FLOOR);
        assertWithMessage("%s, grants issued after the warm-up", fault)
                .that(simulation.maxEjected())
                .isAtLeast(1);
    }
}
