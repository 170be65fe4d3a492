package io.coppershelf.claim.internal;

import static com.google.common.truth.Truth.assertThat;

import io.coppershelf.backend.BackendResult.Answer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests that a holder accepts only one request with a key, unless the earlier ones are proven not to have run. */
class ClaimTableTest {
    private static final RequestDigest DIGEST = new RequestDigest(1, 2);
    private static final Duration REMAINING = Duration.ofSeconds(2);
    private static final Answer ANSWER = new Answer(201, List.of(), new byte[] {7});

    private final ClaimTable table = new ClaimTable(3);

    private HolderDecision.Kind claim(String requestId, long now) {
        return table.claim("k", DIGEST, requestId, REMAINING, now).kind();
    }

    private void complete(String requestId, ClaimStatus status) {
        table.complete("k", DIGEST, requestId, status, Optional.of(ANSWER), 0);
    }

    @ParameterizedTest
    @CsvSource({"RUN,RUN", "UNKNOWN,UNKNOWN", "NOT_RUN,ACCEPTED", "RUNNING,RUNNING"})
    void secondRequestGetsTheOutcomeOfTheFirst(ClaimStatus outcome, HolderDecision.Kind expected) {
        assertThat(claim("a1", 0)).isEqualTo(HolderDecision.Kind.ACCEPTED);
        complete("a1", outcome);
        long now = outcome == ClaimStatus.RUNNING ? 0 : 1;
        assertThat(claim("a2", now)).isEqualTo(expected);
    }

    @ParameterizedTest
    @EnumSource(ClaimStatus.class)
    void outcomeThatArrivesBeforeTheClaimCounts(ClaimStatus outcome) {
        complete("a1", outcome);
        if (outcome != ClaimStatus.RUNNING) {
            assertThat(claim("a1", 0)).isEqualTo(HolderDecision.Kind.RUNNING);
        }
        assertThat(claim("a2", 0) == HolderDecision.Kind.ACCEPTED).isEqualTo(outcome == ClaimStatus.NOT_RUN);
    }

    @Test
    void requestWithoutAnOutcomeAfterItsDeadlineCountsAsUnknown() {
        claim("a1", 0);
        long overdue = REMAINING.plus(ClaimLimits.COMPLETION_MARGIN).toNanos();
        assertThat(claim("a2", overdue - 1)).isEqualTo(HolderDecision.Kind.RUNNING);
        assertThat(claim("a2", overdue)).isEqualTo(HolderDecision.Kind.UNKNOWN);
    }

    @Test
    void refusesOtherContentUntilTheFirstIsProvenNotRun() {
        claim("a1", 0);
        RequestDigest other = new RequestDigest(1, 3);
        assertThat(table.claim("k", other, "a2", REMAINING, 0).kind()).isEqualTo(HolderDecision.Kind.REUSED);
        complete("a1", ClaimStatus.NOT_RUN);
        assertThat(table.claim("k", other, "a2", REMAINING, 0).kind()).isEqualTo(HolderDecision.Kind.ACCEPTED);
    }

    @Test
    void refusesNewKeysWhenFullAndRemovesNothingWithinTheWindow() {
        long window = ClaimLimits.WINDOW.toNanos();
        for (String key : List.of("x", "y", "z")) {
            assertThat(table.claim(key, DIGEST, "a", REMAINING, 0).kind()).isEqualTo(HolderDecision.Kind.ACCEPTED);
        }
        assertThat(claim("a1", window - 1)).isEqualTo(HolderDecision.Kind.FULL);
        assertThat(table.claim("x", DIGEST, "b", REMAINING, window - 1).kind()).isEqualTo(HolderDecision.Kind.UNKNOWN);
        assertThat(claim("a1", window)).isEqualTo(HolderDecision.Kind.ACCEPTED);
        assertThat(table.size()).isEqualTo(1);
    }

    @Test
    void keepsAnswersUpToTheirLimitAndOnlyTheStatusBeyondIt() {
        Answer large = new Answer(200, List.of(), new byte[ClaimLimits.MAX_KEPT_ANSWER_BYTES + 1]);
        table.complete("k", DIGEST, "a1", ClaimStatus.RUN, Optional.of(large), 0);
        HolderDecision second = table.claim("k", DIGEST, "a2", REMAINING, 0);
        assertThat(second).isEqualTo(HolderDecision.of(HolderDecision.Kind.RUN));
        table.complete("k", DIGEST, "a1", ClaimStatus.RUN, Optional.of(ANSWER), 0);
        assertThat(table.claim("k", DIGEST, "a2", REMAINING, 0).answer()).hasValue(ANSWER);
        assertThat(table.answerBytes()).isEqualTo(1);
    }

    @Test
    void orderAndDuplicatesOfUpdatesMakeNoDifference() {
        List<TransferredClaim> updates = new ArrayList<>();
        for (ClaimStatus status : ClaimStatus.values()) {
            for (String requestId : List.of("a1", "a2")) {
                Optional<Answer> answer = status == ClaimStatus.RUN ? Optional.of(ANSWER) : Optional.empty();
                updates.add(new TransferredClaim(
                        "k",
                        requestId,
                        DIGEST,
                        status,
                        answer,
                        5,
                        10 + status.name().length()));
            }
        }
        Random random = new Random(1);
        List<TransferredClaim> expected = merged(updates);
        for (int i = 0; i < 50; i++) {
            updates.add(updates.get(random.nextInt(updates.size())));
            Collections.shuffle(updates, random);
            assertThat(merged(updates)).isEqualTo(expected);
        }
    }

    private static List<TransferredClaim> merged(List<TransferredClaim> updates) {
        ClaimTable table = new ClaimTable(10);
        updates.forEach(claim -> table.merge(claim, 0));
        return table.page("", key -> true, 0).claims();
    }

    @Test
    void transfersAllMatchingKeysPageByPage() {
        ClaimTable large = new ClaimTable(1_000);
        for (int i = 0; i < 250; i++) {
            large.claim("key" + i, DIGEST, "a", REMAINING, 0);
        }
        List<String> keys = new ArrayList<>();
        ClaimTable.Page page = large.page("", key -> !key.endsWith("7"), 0);
        page.claims().forEach(claim -> keys.add(claim.key()));
        while (!page.complete()) {
            page = large.page(page.last(), key -> !key.endsWith("7"), 0);
            page.claims().forEach(claim -> keys.add(claim.key()));
        }
        assertThat(keys).hasSize(225);
        assertThat(keys).containsNoDuplicates();
    }
}
