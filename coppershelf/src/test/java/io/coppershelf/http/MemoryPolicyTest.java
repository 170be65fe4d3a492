package io.coppershelf.http;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class MemoryPolicyTest {
    private static final long LIMIT_BYTES = 1600 * 1024;
    private static final long READ = MemoryPolicy.READ_BYTES;
    private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final MemoryPolicy policy = new MemoryPolicy(LIMIT_BYTES);

    @Test
    void quarterOfTheMemoryIsKeptForBodiesUpTo64Kilobytes() {
        long used = LIMIT_BYTES * 3 / 4;
        assertThat(policy.isAccepted(64 * 1024 + 1, used, false)).isFalse();
        assertThat(policy.isAccepted(64 * 1024, used, true)).isTrue();
        assertThat(policy.isAccepted(64 * 1024, LIMIT_BYTES - 1024, true)).isFalse();
    }

    /** Guards against uploads that take the memory for which answers wait. */
    @Test
    void largeRequestIsNotAcceptedWhileOthersWait() {
        assertThat(policy.isAccepted(100_000, 0, false)).isTrue();
        assertThat(policy.isAccepted(100_000, 0, true)).isFalse();
    }

    /** Guards against answers that all get a part of what one of them needs. */
    @Test
    void oldestAnswersAreReadFirst() {
        // One read fits into the share of all large bodies, and one more into the reserve of the oldest.
        long used = LIMIT_BYTES * 11 / 16 - MemoryPolicy.READ_BYTES;
        List<BodyState> readers = List.of(answer(1), answer(2), answer(3));
        assertThat(policy.readable(readers, used, OptionalLong.empty())).containsExactly(1L);
        assertThat(policy.readable(readers, used - MemoryPolicy.READ_BYTES, OptionalLong.empty()))
                .containsExactly(1L, 2L);
    }

    /** Guards against a memory full of parts of answers, none of which has room for its rest. */
    @Test
    void memoryForTheRestOfTheOldestAnswerIsLeftToIt() {
        BodyState oldest =
                new BodyState(1, BodyKind.ANSWER, true, true, 70_000, READ, 4 * READ, 70_000, 0, 0, "", false);
        long used = LIMIT_BYTES * 11 / 16 - 4 * READ;
        assertThat(policy.readable(List.of(oldest, answer(2)), used, OptionalLong.empty()))
                .containsExactly(1L);
        assertThat(policy.readable(List.of(oldest, answer(2)), used - READ, OptionalLong.empty()))
                .containsExactly(1L, 2L);
    }

    @Test
    void oldestAnswerAloneUsesTheReserve() {
        long used = LIMIT_BYTES * 11 / 16;
        BodyState upload = new BodyState(1, BodyKind.REQUEST, true, true, 0, READ, READ, 0, 0, 0, "", false);
        assertThat(policy.readable(List.of(upload, answer(2), answer(3)), used, OptionalLong.empty()))
                .containsExactly(2L);
    }

    /** Guards against an answer without an end for which all others wait. */
    @Test
    void onlyAnswerOfUnknownLengthBeyondTheReserveIsGivenUp() {
        long reserve = LIMIT_BYTES / 16;
        assertThat(policy.isGivenUp(BodyKind.ANSWER, false, reserve + 1)).isTrue();
        assertThat(policy.isGivenUp(BodyKind.ANSWER, false, reserve)).isFalse();
        assertThat(policy.isGivenUp(BodyKind.ANSWER, true, reserve + 1)).isFalse();
        assertThat(policy.isGivenUp(BodyKind.REQUEST, false, reserve + 1)).isFalse();
    }

    @Test
    void smallBodiesAreReadWhileLargeOnesWait() {
        BodyState small = new BodyState(9, BodyKind.ANSWER, true, false, 0, 1000, 1000, 0, 0, 0, "", false);
        assertThat(policy.readable(List.of(answer(1), small), LIMIT_BYTES * 3 / 4, OptionalLong.empty()))
                .containsExactly(9L);
    }

    @Test
    void forcedAnswerIsReadBeyondTheLimit() {
        assertThat(policy.readable(List.of(answer(1), answer(2)), LIMIT_BYTES, OptionalLong.of(1)))
                .containsExactly(1L);
    }

    /** Guards against the loss of answers that callers read as fast as they can. */
    @Test
    void largestAndSlowestReaderIsClosed() {
        BodyState fast = delivery(1, 900_000, 4_000_000);
        BodyState slowAndLarge = delivery(2, 400_000, 100_000);
        BodyState slowAndAlmostDone = delivery(3, 70_000, 100_000);
        assertThat(policy.toClose(List.of(fast, slowAndLarge, slowAndAlmostDone)))
                .hasValue(slowAndLarge);
    }

    @Test
    void readerIsNotClosedInItsFirstSecondNorForASmallAnswer() {
        BodyState young =
                new BodyState(1, BodyKind.DELIVERY, false, true, 900_000, 0, 0, 0, SECOND_NANOS / 2, 0, "", false);
        BodyState small = new BodyState(
                2, BodyKind.DELIVERY, false, false, 60_000, 0, 0, 0, 9 * SECOND_NANOS, 9 * SECOND_NANOS, "", false);
        assertThat(policy.toClose(List.of(young, small))).isEmpty();
    }

    /** Guards against callers that announce large bodies and do not send them. */
    @Test
    void uploadThatDoesNotArriveIsClosedIfNoReaderIsSlow() {
        BodyState active =
                new BodyState(1, BodyKind.REQUEST, true, true, 900_000, 0, 0, 0, 9 * SECOND_NANOS, 0, "", false);
        BodyState silent = new BodyState(
                2, BodyKind.REQUEST, true, true, 300_000, 0, 0, 0, 9 * SECOND_NANOS, SECOND_NANOS, "", false);
        assertThat(policy.toClose(List.of(active, silent))).hasValue(silent);
        assertThat(policy.toClose(List.of(silent, delivery(3, 100_000, 0)))).hasValue(delivery(3, 100_000, 0));
    }

    private static BodyState answer(long number) {
        return new BodyState(number, BodyKind.ANSWER, true, true, 70_000, READ, READ, 70_000, 0, 0, "", false);
    }

    private static BodyState delivery(long number, long heldBytes, long writtenBytes) {
        return new BodyState(
                number,
                BodyKind.DELIVERY,
                false,
                true,
                heldBytes,
                0,
                0,
                writtenBytes,
                5 * SECOND_NANOS,
                SECOND_NANOS,
                "",
                false);
    }
}
