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

/** Every fault at every step: what must always hold, holds. A cell that can't occur says why. */
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
        return whyNotPossible((Fault) cell.get()[0], (Step) cell.get()[1]);
    }

    private static Stream<Arguments> cells() {
        return Arrays.stream(Fault.values())
                .flatMap(fault -> Arrays.stream(Step.values()).map(step -> Arguments.of(fault, step)));
    }

    @ParameterizedTest(name = "{0} at {1}")
    @MethodSource("possibleCells")
    void holdsUnder(Fault fault, Step step) {
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
    void cellThatCannotOccurSaysWhy(Fault fault, Step step, String reason) {
        assertWithMessage("%s at %s", fault, step).that(reason).isNotEmpty();
    }

    @Test
    void noCellIsLeftOutWithoutNotice() {
        assertThat(possibleCells().count()).isEqualTo(115);
        assertThat(impossibleCells().count()).isEqualTo(55);
    }

    private static Optional<String> whyNotPossible(Fault fault, Step step) {
        if (step == Step.TICKET_HALF_SPREAD) {
            return fault.isOfServer() ? Optional.of("no backend server takes part in the spread") : Optional.empty();
        }
        if (step == Step.EJECTION_HALF_GRANTED) {
            boolean isDrain = fault == Fault.DRAIN_DURING_WORK;
            return fault.isOfVms() || isDrain
                    ? Optional.empty()
                    : Optional.of("a right is asked for and granted without the platform and the server");
        }
        if (fault.isOfPlatform()) {
            return step == Step.START ? Optional.empty() : Optional.of("no request waits for the platform");
        }
        if (fault.isOfServer() && step == Step.START) {
            return Optional.of("a VM that starts has nothing under way at a server");
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
        RequestSimulation world = new RequestSimulation(step, fault, victim);
        world.run();
        String cell = fault + " at " + step + " of " + victim;
        assertWithMessage("%s struck", cell).that(world.isFaultInjected()).isTrue();
        List<String> executed = world.executed();
        assertWithMessage("%s, tries run", cell).that(executed.size()).isAtMost(1);
        world.attempts().forEach(attempt -> checkAttempt(cell, attempt, executed));
        if (fault == Fault.DRAIN_DURING_WORK) {
            assertWithMessage("%s, tries at the draining server", cell)
                    .that(world.receivedByDraining().size())
                    .isAtMost(1);
            assertWithMessage("%s, work under way", cell)
                    .that(world.attempts().get(0).result().flatMap(RequestResult::answer))
                    .isPresent();
        }
        checkEntry(cell, fault, victim, world);
    }

    private static void checkAttempt(String cell, EntryAttempt attempt, List<String> executed) {
        Optional<RequestResult> told = attempt.result();
        Outcome outcome =
                told.flatMap(RequestResult::error).map(ErrorKind::outcome).orElse(Outcome.UNKNOWN);
        boolean ran = executed.stream().anyMatch(id -> id.startsWith(attempt.id() + "/"));
        assertWithMessage("%s, %s told as not run and ran", cell, attempt.id())
                .that(outcome == Outcome.NOT_RUN && ran)
                .isFalse();
        told.flatMap(RequestResult::answer).ifPresent(answer -> {
            assertWithMessage("%s, runs behind an answer", cell).that(executed).hasSize(1);
            assertWithMessage("%s, answer", cell)
                    .that(new String(answer.body(), StandardCharsets.UTF_8))
                    .isEqualTo(FakeServer.bodyOf(executed.get(0)));
        });
    }

    /** Each caller hears in time, unless its own entry VM is away. */
    private static void checkEntry(String cell, Fault fault, String victim, RequestSimulation world) {
        for (EntryAttempt attempt : world.attempts()) {
            boolean isAway = attempt.vm().equals(victim) && fault != Fault.CUT_IN && fault != Fault.CUT_OUT;
            if (isAway) {
                continue;
            }
            assertWithMessage("%s, %s told", cell, attempt.id())
                    .that(attempt.result().isPresent())
                    .isTrue();
            assertWithMessage("%s, time of %s", cell, attempt.id())
                    .that(attempt.resultNanos() - attempt.startNanos())
                    .isAtMost(EntryAttempt.DEADLINE.plus(ANSWER_MARGIN).toNanos());
        }
    }

    private static void checkTickets(Fault fault) {
        TicketSimulation world = new TicketSimulation();
        world.run(fault);
        assertWithMessage("%s, reverts", fault).that(world.reverts()).isEmpty();
        assertWithMessage("%s, digests", fault)
                .that(world.digests().stream().distinct().count())
                .isEqualTo(1);
        if (fault != Fault.VM_KILLED && fault != Fault.VM_RESTARTED) {
            assertWithMessage("%s, ticket in force", fault)
                    .that(world.inForce().get(0))
                    .isAtLeast(2L);
        }
        if (fault == Fault.TWO_TICKETS_ONE_NUMBER) {
            assertWithMessage("VMs that raise the alarm").that(world.alarms()).isAtLeast(1L);
        }
    }

    private static void checkFloor(Fault fault) {
        EjectionSimulation world = new EjectionSimulation(fault);
        world.run();
        assertWithMessage("%s, servers out at once", fault)
                .that(world.maxEjected())
                .isAtMost(EjectionSimulation.SERVERS - EjectionSimulation.FLOOR);
        assertWithMessage("%s, rights granted again", fault)
                .that(world.maxEjected())
                .isAtLeast(1);
    }
}
