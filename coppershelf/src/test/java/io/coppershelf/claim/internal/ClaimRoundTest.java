package io.coppershelf.claim.internal;

import static com.google.common.truth.Truth.assertThat;

import io.coppershelf.backend.BackendResult.Answer;
import io.coppershelf.claim.Claims.ClaimResult;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that a key is claimed only if a quorum of its holders accepts. */
class ClaimRoundTest {
    private static final String CLAIMED = "CLAIMED";

    @ParameterizedTest
    @CsvSource({
        "5,ACCEPTED ACCEPTED ACCEPTED ACCEPTED,CLAIMED",
        "5,ACCEPTED NO_HISTORY ACCEPTED ACCEPTED ACCEPTED,CLAIMED",
        "5,ACCEPTED ACCEPTED ACCEPTED,OPEN",
        "5,NO_HISTORY FULL,KEY_UNDECIDED",
        "5,ACCEPTED ACCEPTED ACCEPTED RUNNING,KEY_RUNNING",
        "5,ACCEPTED UNKNOWN,KEY_OUTCOME_UNKNOWN",
        "5,REUSED,KEY_REUSED",
        "5,RUN,KEY_ANSWER_NOT_KEPT",
        "4,ACCEPTED ACCEPTED ACCEPTED ACCEPTED,CLAIMED",
        "4,NO_HISTORY,KEY_UNDECIDED",
        "3,ACCEPTED ACCEPTED,OPEN",
        "2,ACCEPTED ACCEPTED,CLAIMED",
        "1,ACCEPTED,CLAIMED",
        "0,,KEY_UNDECIDED"
    })
    void determinesTheResultAsSoonAsTheDecisionsAllow(int holders, String decisions, String expected) {
        List<String> ids = List.of("a", "b", "c", "d", "e").subList(0, holders);
        ClaimRound round = new ClaimRound(ids);
        List<String> kinds = decisions == null ? List.of() : Arrays.asList(decisions.split(" "));
        for (int i = 0; i < kinds.size(); i++) {
            round.onReply(ids.get(i), HolderDecision.of(HolderDecision.Kind.valueOf(kinds.get(i))));
        }
        assertThat(name(round.result())).isEqualTo(expected);
    }

    @Test
    void countsEachHolderOnceAndNoOtherVm() {
        ClaimRound round = new ClaimRound(List.of("a", "b", "c", "d", "e"));
        List.of("a", "a", "b", "x", "c", "c")
                .forEach(id -> round.onReply(id, HolderDecision.of(HolderDecision.Kind.ACCEPTED)));
        assertThat(round.result()).isEmpty();
    }

    @Test
    void returnsTheKeptAnswerOfTheFirstRequest() {
        Answer answer = new Answer(201, List.of(), new byte[0]);
        ClaimRound round = new ClaimRound(List.of("a", "b", "c"));
        HolderDecision ran = new HolderDecision(HolderDecision.Kind.RUN, Optional.of(answer));
        assertThat(round.onReply("b", ran)).hasValue(new ClaimResult.Answered(answer));
        assertThat(round.onReply("a", HolderDecision.of(HolderDecision.Kind.ACCEPTED)))
                .isEmpty();
    }

    private static String name(Optional<ClaimResult> result) {
        if (result.isEmpty()) {
            return "OPEN";
        }
        return result.get() instanceof ClaimResult.Rejected rejected
                ? rejected.error().name()
                : CLAIMED;
    }
}
