package io.coppershelf.routing.internal;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.coppershelf.admission.AttemptResult;
import io.coppershelf.admission.GroupName;
import io.coppershelf.backend.BackendResult.Answer;
import io.coppershelf.outcome.ErrorKind;
import io.coppershelf.outcome.Outcome;
import io.coppershelf.routing.RequestResult;
import io.coppershelf.routing.internal.RequestAction.AnswerCaller;
import io.coppershelf.routing.internal.RequestAction.CancelAttempt;
import io.coppershelf.routing.internal.RequestAction.RecordOutcome;
import io.coppershelf.routing.internal.RequestAction.SendAttempt;
import io.coppershelf.routing.internal.RequestEvent.AttemptEnded;
import io.coppershelf.routing.internal.RequestEvent.DeadlinePassed;
import io.coppershelf.routing.internal.RequestEvent.HedgeDue;
import io.coppershelf.routing.internal.RequestEvent.SendCutoffReached;
import io.coppershelf.routing.internal.RequestEvent.Started;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

class RequestDecisionsTest {
    private static final GroupName HERE = new GroupName("vagtbank", "herning");
    private static final GroupName THERE = new GroupName("vagtbank", "viborg");
    private static final Answer ANSWER = new Answer(200, List.of(), new byte[0]);

    private final FakePolicy policy = new FakePolicy();

    private static AttemptEnded ended(int number, ErrorKind error) {
        return new AttemptEnded(number, AttemptResult.failed(error));
    }

    private static AttemptEnded answered(int number) {
        return new AttemptEnded(
                number, new AttemptResult(Optional.of(ANSWER), Optional.empty(), Optional.empty(), Optional.empty()));
    }

    private RequestDecisions started(boolean isIdempotent) {
        RequestDecisions decisions = new RequestDecisions(isIdempotent, policy);
        assertThat(decisions.on(new Started())).containsExactly(new SendAttempt(1, HERE, 0, false));
        return decisions;
    }

    private static List<RequestAction> answerAndOutcome(ErrorKind error) {
        return List.of(
                new AnswerCaller(RequestResult.failed(error)), new RecordOutcome(error.outcome(), Optional.empty()));
    }

    private static final List<RequestAction> ANSWER_AND_OUTCOME = List.of(
            new AnswerCaller(RequestResult.answered(ANSWER)), new RecordOutcome(Outcome.RUN, Optional.of(ANSWER)));

    @Test
    void answersCallerWithServersAnswer() {
        assertThat(started(false).on(answered(1))).isEqualTo(ANSWER_AND_OUTCOME);
    }

    @ParameterizedTest
    @EnumSource
    void neverRetriesNonIdempotentRequestWithoutProofThatItDidNotRun(ErrorKind error) {
        List<RequestAction> actions = started(false).on(ended(1, error));

        boolean isRetried = actions.stream().anyMatch(SendAttempt.class::isInstance);
        assertWithMessage("sent again after %s", error)
                .that(isRetried && error.outcome() != Outcome.NOT_RUN)
                .isFalse();
        if (!isRetried) {
            assertThat(actions).isEqualTo(answerAndOutcome(error));
        }
    }

    @ParameterizedTest(name = "{0}: {1} goes to {2} candidate {3}")
    @CsvSource({
        "false, OWNER_UNREACHABLE, herning, 1, 5",
        "false, STOPPING, herning, 1, 5",
        "true, STARTING, herning, 1, 5",
        "false, OVERLOADED, viborg, 0, 4",
        "false, SERVER_REFUSED, viborg, 0, 4",
        "false, NO_SERVER, viborg, 0, 4",
        "true, SERVER_LOST, viborg, 0, 4",
        "true, ANSWER_TRUNCATED, viborg, 0, 4",
        "true, ANSWER_FOREIGN, viborg, 0, 4",
        "true, OWNER_LOST, viborg, 0, 4",
        "true, DEADLINE_PASSED, viborg, 0, 4",
    })
    void retriesElsewhereWithinBudget(
            boolean isIdempotent, ErrorKind error, String dataCentre, int candidate, int budgetLeft) {
        List<RequestAction> actions = started(isIdempotent).on(ended(1, error));

        assertThat(actions)
                .containsExactly(new SendAttempt(2, new GroupName("vagtbank", dataCentre), candidate, false));
        assertThat(policy.budget).isEqualTo(budgetLeft);
    }

    @ParameterizedTest
    @CsvSource({"false, OVERLOADED", "false, SERVER_REFUSED", "true, SERVER_LOST", "true, OWNER_LOST"})
    void doesNotRetryWithoutBudget(boolean isIdempotent, ErrorKind error) {
        policy.budget = 0;

        assertThat(started(isIdempotent).on(ended(1, error))).isEqualTo(answerAndOutcome(error));
    }

    @Test
    void retriesInTheSameGroupIfThereIsNoOtherUnlessItIsOverloaded() {
        policy.groups = List.of(HERE);

        assertThat(started(false).on(ended(1, ErrorKind.SERVER_REFUSED)))
                .containsExactly(new SendAttempt(2, HERE, 0, false));
        assertThat(started(true).on(ended(1, ErrorKind.OWNER_LOST)))
                .containsExactly(new SendAttempt(2, HERE, 1, false));
        assertThat(started(false).on(ended(1, ErrorKind.OVERLOADED))).isEqualTo(answerAndOutcome(ErrorKind.OVERLOADED));
    }

    @Test
    void failsOnceAllOwnersOfAllGroupsAreUnreachable() {
        RequestDecisions decisions = started(false);
        List<SendAttempt> sent = new ArrayList<>();
        List<RequestAction> actions = List.of();
        for (int number = 1; number <= 6; number++) {
            actions = decisions.on(ended(number, ErrorKind.OWNER_UNREACHABLE));
            actions.stream()
                    .filter(SendAttempt.class::isInstance)
                    .map(SendAttempt.class::cast)
                    .forEach(sent::add);
        }

        assertThat(sent.stream().map(send -> send.group().dataCentre() + send.candidate()))
                .containsExactly("herning1", "herning2", "viborg0", "viborg1", "viborg2")
                .inOrder();
        assertThat(actions).isEqualTo(answerAndOutcome(ErrorKind.OWNER_UNREACHABLE));
    }

    @Test
    void answersUnknownOnceAnyAttemptMayHaveRun() {
        RequestDecisions decisions = started(true);
        assertThat(decisions.on(ended(1, ErrorKind.SERVER_LOST))).hasSize(1);

        assertThat(decisions.on(ended(2, ErrorKind.DEADLINE_BEFORE_RUN)))
                .isEqualTo(answerAndOutcome(ErrorKind.SERVER_LOST));
    }

    @Test
    void returnsRetryTimeOfTheOwner() {
        policy.groups = List.of(HERE);
        Duration retryAfter = Duration.ofSeconds(7);

        List<RequestAction> actions =
                started(false).on(new AttemptEnded(1, AttemptResult.refused(ErrorKind.OVERLOADED, retryAfter)));

        assertThat(actions).contains(new AnswerCaller(RequestResult.failed(ErrorKind.OVERLOADED, retryAfter)));
    }

    @Test
    void refusesServiceWithoutServers() {
        policy.groups = List.of();

        assertThat(new RequestDecisions(false, policy).on(new Started()))
                .isEqualTo(answerAndOutcome(ErrorKind.NO_SERVER));
    }

    @Test
    void hedgesIdempotentRequestElsewhereAndCancelsTheSlowerAttempt() {
        RequestDecisions decisions = started(true);

        assertThat(decisions.on(new HedgeDue())).containsExactly(new SendAttempt(2, THERE, 0, true));
        assertThat(decisions.on(new HedgeDue())).isEmpty();
        assertThat(decisions.on(answered(2)))
                .containsExactly(ANSWER_AND_OUTCOME.get(0), new CancelAttempt(1), ANSWER_AND_OUTCOME.get(1))
                .inOrder();
        assertThat(decisions.on(answered(1))).isEmpty();
    }

    @Test
    void hedgesNeitherNonIdempotentRequestNorWithoutBudget() {
        assertThat(started(false).on(new HedgeDue())).isEmpty();
        policy.budget = 0;
        assertThat(started(true).on(new HedgeDue())).isEmpty();
    }

    @Test
    void waitsForFirstAttemptIfHedgeIsRefused() {
        RequestDecisions decisions = started(true);
        assertThat(decisions.on(new HedgeDue())).hasSize(1);

        assertThat(decisions.on(ended(2, ErrorKind.OVERLOADED))).isEmpty();
        assertThat(decisions.on(answered(1))).isEqualTo(ANSWER_AND_OUTCOME);
    }

    @ParameterizedTest
    @CsvSource({"DEADLINE_BEFORE_RUN", "OVERLOADED"})
    void answersNotRunIfCancelledAttemptProvablyDidNotRun(ErrorKind proof) {
        RequestDecisions decisions = started(false);

        assertThat(decisions.on(new SendCutoffReached())).containsExactly(new CancelAttempt(1));
        assertThat(decisions.on(ended(1, proof))).isEqualTo(answerAndOutcome(ErrorKind.DEADLINE_BEFORE_RUN));
        assertThat(decisions.on(new DeadlinePassed())).isEmpty();
    }

    static Stream<AttemptEnded> lateEnds() {
        return Stream.of(answered(1), ended(1, ErrorKind.DEADLINE_BEFORE_RUN), ended(1, ErrorKind.SERVER_LOST));
    }

    @ParameterizedTest
    @MethodSource("lateEnds")
    void answersUnknownAtDeadlineAndRecordsTheActualOutcomeLater(AttemptEnded late) {
        RequestDecisions decisions = started(false);
        assertThat(decisions.on(new SendCutoffReached())).hasSize(1);

        assertThat(decisions.on(new DeadlinePassed()))
                .containsExactly(new AnswerCaller(RequestResult.failed(ErrorKind.DEADLINE_PASSED)));
        Outcome actual = late.result().error().map(ErrorKind::outcome).orElse(Outcome.RUN);
        assertThat(decisions.on(late))
                .containsExactly(new RecordOutcome(actual, late.result().answer()));
    }

    @Test
    void sendsNothingIfClaimIsGrantedAfterDeadline() {
        RequestDecisions decisions = new RequestDecisions(false, policy);

        assertThat(decisions.on(new SendCutoffReached())).isEmpty();
        assertThat(decisions.on(new DeadlinePassed()))
                .containsExactly(new AnswerCaller(RequestResult.failed(ErrorKind.DEADLINE_BEFORE_RUN)));
        assertThat(decisions.on(new Started())).containsExactly(new RecordOutcome(Outcome.NOT_RUN, Optional.empty()));
    }

    static IntStream seeds() {
        return IntStream.range(0, 2_000);
    }

    @Test
    void keepsItsInvariantsUnderAnyOrderOfEvents() {
        seeds().forEach(seed -> RandomHistory.play(seed, new FakePolicy()));
    }

    /** Plays random ends of attempts and timers, and checks the invariants of the decisions. */
    private static final class RandomHistory {
        private final Random random;
        private final boolean isIdempotent;
        private final List<Integer> inFlight = new ArrayList<>();
        private boolean mayHaveRun;
        private int answers;
        private int outcomes;

        private RandomHistory(int seed) {
            random = new Random(seed);
            isIdempotent = random.nextBoolean();
        }

        static void play(int seed, FakePolicy policy) {
            RandomHistory history = new RandomHistory(seed);
            RequestDecisions decisions = new RequestDecisions(history.isIdempotent, policy);
            history.check(decisions.on(new Started()));
            for (int step = 0; step < 12; step++) {
                history.check(decisions.on(history.event()));
            }
            history.check(decisions.on(new DeadlinePassed()));
            while (!history.inFlight.isEmpty()) {
                history.check(decisions.on(history.end()));
            }
            assertWithMessage("answers, seed %s", seed).that(history.answers).isEqualTo(1);
            assertWithMessage("outcomes, seed %s", seed).that(history.outcomes).isEqualTo(1);
        }

        private RequestEvent event() {
            int roll = random.nextInt(10);
            if (roll == 0) {
                return new HedgeDue();
            }
            return roll == 1 ? new SendCutoffReached() : end();
        }

        private RequestEvent end() {
            if (inFlight.isEmpty()) {
                return new HedgeDue();
            }
            int number = inFlight.remove(random.nextInt(inFlight.size()));
            ErrorKind[] kinds = ErrorKind.values();
            int roll = random.nextInt(kinds.length + 3);
            if (roll >= kinds.length) {
                mayHaveRun = true;
                return answered(number);
            }
            mayHaveRun |= kinds[roll].outcome() != Outcome.NOT_RUN;
            return ended(number, kinds[roll]);
        }

        private void check(List<RequestAction> actions) {
            for (RequestAction action : actions) {
                if (action instanceof SendAttempt send) {
                    assertThat(isIdempotent || (inFlight.isEmpty() && !mayHaveRun))
                            .isTrue();
                    inFlight.add(send.number());
                } else if (action instanceof AnswerCaller answer) {
                    answers++;
                    checkAnswer(answer.result());
                } else if (action instanceof RecordOutcome recorded) {
                    outcomes++;
                    assertThat(recorded.outcome() == Outcome.NOT_RUN && mayHaveRun)
                            .isFalse();
                }
            }
        }

        private void checkAnswer(RequestResult result) {
            boolean isAnsweredNotRun = result.error()
                    .filter(error -> error.outcome() == Outcome.NOT_RUN)
                    .isPresent();
            assertThat(isAnsweredNotRun && (mayHaveRun || !inFlight.isEmpty())).isFalse();
        }
    }

    private static final class FakePolicy implements AttemptPolicy {
        private List<GroupName> groups = List.of(HERE, THERE);
        private int budget = 5;

        @Override
        public Optional<GroupName> selectGroup(Set<GroupName> excluded) {
            return groups.stream().filter(group -> !excluded.contains(group)).findFirst();
        }

        @Override
        public int ownerCount(GroupName group) {
            return GroupName.OWNER_CANDIDATES;
        }

        @Override
        public boolean spendRetry() {
            return budget-- > 0;
        }
    }
}
