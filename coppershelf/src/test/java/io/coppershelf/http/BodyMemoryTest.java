package io.coppershelf.http;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class BodyMemoryTest {
    private static final int LIMIT_BYTES = 1_000_000;
    private static final int PIECE_BYTES = 64 * 1024;
    /** The memory of a VM with a heap of 128 MB. */
    private static final int SERVED_BYTES = 40 * 1024 * 1024;

    private long nowNanos;
    private final BodyMemory failing = new BodyMemory(LIMIT_BYTES);
    private final BodyMemory pausing = BodyMemory.withBackpressure(LIMIT_BYTES, () -> nowNanos);

    @Test
    void releasedMemoryCanBeUsedAgain() {
        BodyMemory memory = new BodyMemory(10);
        HeldBody first = memory.open(BodyKind.ANSWER, BodyOwner.NONE);
        assertThat(first.received(10)).isTrue();
        assertThat(memory.open(BodyKind.ANSWER, BodyOwner.NONE).received(1)).isFalse();
        first.release();
        assertThat(memory.open(BodyKind.ANSWER, BodyOwner.NONE).received(1)).isTrue();
    }

    @Test
    void largeBodiesLeaveAShareForSmallOnes() {
        assertThat(failing.open(BodyKind.ANSWER, BodyOwner.NONE).received(640_000))
                .isTrue();
        HeldBody growing = failing.open(BodyKind.ANSWER, BodyOwner.NONE);
        assertThat(growing.received(60_000)).isTrue();
        assertThat(growing.received(60_000)).isFalse();
        assertThat(failing.open(BodyKind.ANSWER, BodyOwner.NONE).received(60_000))
                .isTrue();
    }

    @Test
    void completeBodyIsCountedAlsoBeyondTheLimit() {
        BodyMemory memory = new BodyMemory(10);
        memory.open(BodyKind.DELIVERY, BodyOwner.NONE).hold(25);
        assertThat(memory.open(BodyKind.ANSWER, BodyOwner.NONE).received(1)).isFalse();
        assertThat(memory.usedBytes()).isEqualTo(25);
    }

    /** Guards against a request whose body is read although there is no room for the rest of it. */
    @Test
    void statedLengthIsReservedBeforeTheBodyIsRead() {
        assertThat(pausing.open(BodyKind.REQUEST, BodyOwner.NONE).tryReserve(700_000))
                .isTrue();
        HeldBody second = pausing.open(BodyKind.REQUEST, BodyOwner.NONE);
        assertThat(second.tryReserve(100_000)).isFalse();
        assertThat(second.tryReserve(60_000)).isTrue();
        second.received(60_000);
        assertThat(pausing.usedBytes()).isEqualTo(760_000);
        second.release();
        assertThat(pausing.usedBytes()).isEqualTo(700_000);
    }

    /** Guards against answers that fill the memory together and then all wait for the rest of theirs. */
    @Test
    void answersThatExceedTheMemoryTogetherAreAllCompletedWithinIt() {
        int answerBytes = 500_000;
        List<Peer> waiting = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            waiting.add(new Peer(answerBytes));
        }
        while (!waiting.isEmpty()) {
            List<Peer> reading = waiting.stream().filter(peer -> peer.isReading).toList();
            assertThat(reading).isNotEmpty();
            reading.stream().filter(peer -> peer.isReading).forEach(Peer::receive);
            assertThat(pausing.usedBytes()).isAtMost(LIMIT_BYTES);
            waiting.removeIf(peer -> peer.received >= answerBytes);
        }
        assertThat(pausing.usedBytes()).isEqualTo(0);
        assertThat(pausing.isShort()).isFalse();
    }

    /** Guards against callers that stop reading and so keep all others from their answers. */
    @Test
    void connectionIsClosedOnlyWhenNothingMakesProgress() {
        Peer caller = new Peer(BodyKind.DELIVERY, 0);
        caller.body.hold(700_000);
        passSeconds(5);
        assertThat(caller.isClosed).isFalse();
        Peer answer = new Peer(500_000);
        answer.body.received(PIECE_BYTES + 1);
        assertThat(answer.isReading).isFalse();
        passSeconds(0.9);
        assertThat(caller.isClosed).isFalse();
        passSeconds(0.2);
        assertThat(caller.isClosed).isTrue();
        assertThat(answer.isReading).isTrue();
    }

    /** Guards against a memory full of requests in which no answer can be completed. */
    @Test
    void oldestAnswerIsCompletedBeyondTheLimitIfThereIsNoConnectionToClose() {
        HeldBody request = pausing.open(BodyKind.REQUEST, BodyOwner.NONE);
        request.tryReserve(740_000);
        request.received(740_000);
        request.completed();
        Peer answer = new Peer(500_000);
        answer.body.received(PIECE_BYTES + 1);
        assertThat(answer.isReading).isFalse();
        passSeconds(1.1);
        while (answer.received < 500_000) {
            assertThat(answer.isReading).isTrue();
            answer.receive();
        }
    }

    /** Guards against a service whose answers have no end and for which the answers of all other services wait. */
    @ParameterizedTest
    @ValueSource(ints = {1000, PIECE_BYTES})
    void answersOfAServiceAreReadWhileThoseOfAnotherUseUpTheirShare(int pieceBytes) {
        BodyMemory memory = BodyMemory.withBackpressure(SERVED_BYTES, () -> nowNanos);
        List<Peer> endless = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            endless.add(new Peer(memory, "faulty", 0));
        }
        for (int received = 0; received < 2_000_000; received += pieceBytes) {
            endless.stream()
                    .filter(peer -> peer.isReading && !peer.isClosed)
                    .forEach(peer -> peer.receiveWithoutEnd(pieceBytes));
        }
        Peer sound = new Peer(memory, "sound", 400_000);
        while (sound.received < sound.length) {
            assertWithMessage("reading of the sound answer after %s bytes", sound.received)
                    .that(sound.isReading)
                    .isTrue();
            sound.receive();
        }
        assertThat(memory.usedBytes()).isAtMost(SERVED_BYTES);
    }

    /** Guards against memory that lies idle because only one service has answers. */
    @ParameterizedTest
    @ValueSource(ints = {60_000, 400_000})
    void serviceUsesMostOfTheMemoryIfNoOtherNeedsIt(int answerBytes) {
        BodyMemory memory = BodyMemory.withBackpressure(SERVED_BYTES, () -> nowNanos);
        List<Peer> answers = new ArrayList<>();
        for (int i = 0; i < 800; i++) {
            answers.add(new Peer(memory, "only", answerBytes));
        }
        for (int received = 0; received < answerBytes - 10_000; received += 10_000) {
            answers.stream().filter(answer -> answer.isReading).forEach(answer -> answer.body.received(10_000));
        }
        assertThat(memory.usedBytes()).isAtLeast(SERVED_BYTES * 4 / 10);
    }

    /** Guards against a complete answer that is given up at the deadline since it had to wait for memory. */
    @Test
    void endIsExpectedOfAnAnswerThatWaitsOrArrivesAtASufficientRate() {
        HeldBody answer = pausing.openAnswer(BodyOwner.NONE, "service");
        answer.expect(500_000);
        assertThat(answer.isEndExpectedWithin(TimeUnit.SECONDS.toNanos(10))).isTrue();
        answer.setPaused(true);
        passSeconds(20);
        assertThat(answer.isEndExpectedWithin(TimeUnit.SECONDS.toNanos(10))).isTrue();
        answer.setPaused(false);
        passSeconds(1.5);
        answer.received(100_000);
        assertThat(answer.isEndExpectedWithin(TimeUnit.SECONDS.toNanos(10))).isTrue();
        assertThat(answer.isEndExpectedWithin(TimeUnit.SECONDS.toNanos(5))).isFalse();
    }

    /** Guards against callers that wait for an answer which has no end, or whose server has stopped sending. */
    @Test
    void endIsNotExpectedOfAnAnswerWithoutALengthOrWithoutProgress() {
        HeldBody endless = pausing.openAnswer(BodyOwner.NONE, "service");
        endless.expect(0);
        assertThat(endless.isEndExpectedWithin(Long.MAX_VALUE)).isFalse();
        HeldBody stalled = pausing.openAnswer(BodyOwner.NONE, "service");
        stalled.expect(500_000);
        stalled.received(400_000);
        passSeconds(1.1);
        assertThat(stalled.isEndExpectedWithin(Long.MAX_VALUE)).isFalse();
    }

    private void passSeconds(double seconds) {
        long end = nowNanos + (long) (seconds * TimeUnit.SECONDS.toNanos(1));
        for (; nowNanos < end; nowNanos += TimeUnit.MILLISECONDS.toNanos(50)) {
            pausing.relieve();
        }
    }

    /** A connection that a body is read from or written to. */
    private final class Peer implements BodyOwner {
        private final HeldBody body;
        private final long length;
        private long received;
        private boolean isReading = true;
        private boolean isClosed;

        Peer(long length) {
            this(BodyKind.ANSWER, length);
        }

        Peer(BodyKind kind, long length) {
            this.length = length;
            body = pausing.open(kind, this);
            body.expect(length);
        }

        /** Creates an answer of a service. */
        Peer(BodyMemory memory, String service, long length) {
            this.length = length;
            body = memory.openAnswer(this, service);
            body.expect(length);
        }

        /** Receives bytes of an answer without an end, which may be given up. */
        void receiveWithoutEnd(int bytes) {
            if (!body.received(bytes)) {
                closeForMemory();
            }
        }

        void receive() {
            long bytes = Math.min(PIECE_BYTES, length - received);
            received += bytes;
            body.received(bytes);
            if (received == length) {
                body.release();
            }
        }

        @Override
        public void setReading(boolean reading) {
            isReading = reading;
        }

        @Override
        public void closeForMemory() {
            isClosed = true;
            body.release();
        }
    }
}
