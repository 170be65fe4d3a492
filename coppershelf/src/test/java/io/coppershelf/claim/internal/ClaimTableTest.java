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

/** A holder lets one attempt of a key run, unless the earlier ones are proved not to have run. */
class ClaimTableTest {
    private static final RequestDigest DIGEST = new RequestDigest(1, 2);
    private static final Duration REMAINING = Duration.ofSeconds(2);
    private static final Answer ANSWER = new Answer(201, List.of(), new byte[] {7});

    private final ClaimTable table = new ClaimTable(3);

    private HolderDecision.Kind claim(String attempt, long now) {
        return table.claim("k", DIGEST, attempt, REMAINING, now).verdict();
    }

    private void complete(String attempt, ClaimStatus status) {
        table.complete("k", DIGEST, attempt, status, Optional.of(ANSWER), 0);
    }

    @ParameterizedTest
    @CsvSource({"RUN,RUN", "UNKNOWN,UNKNOWN", "NOT_RUN,ACCEPTED", "RUNNING,RUNNING"})
    void repeatLearnsTheTruthOfTheFirst(ClaimStatus end, HolderDecision.Kind expected) {
        assertThat(claim("a1", 0)).isEqualTo(HolderDecision.Kind.ACCEPTED);
        complete("a1", end);
        long inTime = end == ClaimStatus.RUNNING ? 0 : 1;
        assertThat(claim("a2", inTime)).isEqualTo(expected);
    }

    @ParameterizedTest
    @EnumSource(ClaimStatus.class)
    void endThatOvertakesTheClaimCounts(ClaimStatus end) {
        complete("a1", end);
        if (end != ClaimStatus.RUNNING) {
            assertThat(claim("a1", 0)).isEqualTo(HolderDecision.Kind.RUNNING);
        }
        assertThat(claim("a2", 0) == HolderDecision.Kind.ACCEPTED).isEqualTo(end == ClaimStatus.NOT_RUN);
    }

    @Test
    void attemptWhoseEndIsOverdueCountsAsUnknown() {
        claim("a1", 0);
        long overdue = REMAINING.plus(ClaimLimits.COMPLETION_MARGIN).toNanos();
        assertThat(claim("a2", overdue - 1)).isEqualTo(HolderDecision.Kind.RUNNING);
        assertThat(claim("a2", overdue)).isEqualTo(HolderDecision.Kind.UNKNOWN);
    }

    @Test
    void refusesOtherContentUntilTheFirstIsProvedNotRun() {
        claim("a1", 0);
        RequestDigest other = new RequestDigest(1, 3);
        assertThat(table.claim("k", other, "a2", REMAINING, 0).verdict()).isEqualTo(HolderDecision.Kind.REUSED);
        complete("a1", ClaimStatus.NOT_RUN);
        assertThat(table.claim("k", other, "a2", REMAINING, 0).verdict()).isEqualTo(HolderDecision.Kind.ACCEPTED);
    }

    @Test
    void refusesNewKeysWhenFullAndForgetsNothingWithinTheWindow() {
        long window = ClaimLimits.WINDOW.toNanos();
        for (String key : List.of("x", "y", "z")) {
            assertThat(table.claim(key, DIGEST, "a", REMAINING, 0).verdict()).isEqualTo(HolderDecision.Kind.ACCEPTED);
        }
        assertThat(claim("a1", window - 1)).isEqualTo(HolderDecision.Kind.FULL);
        assertThat(table.claim("x", DIGEST, "b", REMAINING, window - 1).verdict())
                .isEqualTo(HolderDecision.Kind.UNKNOWN);
        assertThat(claim("a1", window)).isEqualTo(HolderDecision.Kind.ACCEPTED);
        assertThat(table.size()).isEqualTo(1);
    }

    @Test
    void keepsAnswersUpToTheirLimitAndTheFactThatItRanBeyondIt() {
        Answer large = new Answer(200, List.of(), new byte[ClaimLimits.LARGEST_KEPT_ANSWER + 1]);
        table.complete("k", DIGEST, "a1", ClaimStatus.RUN, Optional.of(large), 0);
        HolderDecision repeat = table.claim("k", DIGEST, "a2", REMAINING, 0);
        assertThat(repeat).isEqualTo(HolderDecision.of(HolderDecision.Kind.RUN));
        table.complete("k", DIGEST, "a1", ClaimStatus.RUN, Optional.of(ANSWER), 0);
        assertThat(table.claim("k", DIGEST, "a2", REMAINING, 0).answer()).hasValue(ANSWER);
        assertThat(table.answerBytes()).isEqualTo(1);
    }

    @Test
    void orderAndRepetitionOfNewsMakeNoDifference() {
        List<TransferredClaim> news = new ArrayList<>();
        for (ClaimStatus status : ClaimStatus.values()) {
            for (String attempt : List.of("a1", "a2")) {
                Optional<Answer> answer = status == ClaimStatus.RUN ? Optional.of(ANSWER) : Optional.empty();
                news.add(new TransferredClaim(
                        "k",
                        attempt,
                        DIGEST,
                        status,
                        answer,
                        5,
                        10 + status.name().length()));
            }
        }
        Random random = new Random(1);
        List<TransferredClaim> expected = merged(news);
        for (int i = 0; i < 50; i++) {
            news.add(news.get(random.nextInt(news.size())));
            Collections.shuffle(news, random);
            assertThat(merged(news)).isEqualTo(expected);
        }
    }

    private static List<TransferredClaim> merged(List<TransferredClaim> news) {
        ClaimTable table = new ClaimTable(10);
        news.forEach(attempt -> table.merge(attempt, 0));
        return table.page("", key -> true, 0).attempts();
    }

    @Test
    void transfersAllWantedKeysPageByPage() {
        ClaimTable large = new ClaimTable(1_000);
        for (int i = 0; i < 250; i++) {
            large.claim("key" + i, DIGEST, "a", REMAINING, 0);
        }
        List<String> keys = new ArrayList<>();
        ClaimTable.Page page = large.page("", key -> !key.endsWith("7"), 0);
        page.attempts().forEach(attempt -> keys.add(attempt.key()));
        while (!page.complete()) {
            page = large.page(page.last(), key -> !key.endsWith("7"), 0);
            page.attempts().forEach(attempt -> keys.add(attempt.key()));
        }
        assertThat(keys).hasSize(225);
        assertThat(keys).containsNoDuplicates();
    }
}
