package io.coppershelf.eventlog;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(20)
final class JsonEventLogTest {
    private static final int FLOOD = 100_000;

    @Test
    void lineHoldsItsFieldsInOrder() throws InterruptedException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        JsonEventLog log = JsonEventLog.start(out, "vm-1");
        log.important("server-suspected", Fields.of("server", "i-1", "sickness", 0.81234, "known", true, "count", 3));
        log.close();
        assertThat(out.toString(StandardCharsets.UTF_8))
                .contains("\"vm\":\"vm-1\",\"event\":\"server-suspected\",\"server\":\"i-1\",\"sickness\":0.812,"
                        + "\"known\":true,\"count\":3}");
    }

    /** Scenario: the reader of the log stalls while the VM is flooded with requests; requests must not wait for it. */
    @Test
    void floodIntoABlockedStreamIsDroppedAndCounted() throws InterruptedException {
        CountDownLatch blocked = new CountDownLatch(1);
        JsonEventLog log = JsonEventLog.start(new BlockedStream(blocked), "vm-1");
        log.important("first", Fields.of());
        blocked.await();
        for (int i = 0; i < FLOOD; i++) {
            log.routine("request-ended", Fields.of("request", i));
        }
        assertThat(log.dropped()).isGreaterThan((long) FLOOD * 9 / 10);
    }

    @Test
    void failuresAreLoggedWhenRoutineLinesAreDropped() throws InterruptedException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        JsonEventLog log = JsonEventLog.start(out, "vm-1");
        for (int i = 0; i < FLOOD; i++) {
            log.routine("request-ended", Fields.of("request", i));
        }
        log.important("request-failed", Fields.of("request", "x"));
        log.close();
        assertThat(out.toString(StandardCharsets.UTF_8)).contains("request-failed");
    }

    /** Guards against a log that ends at a text from outside that can't be encoded. */
    @Test
    void logGoesOnAfterATextWithAnUnpairedSurrogate() throws InterruptedException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        JsonEventLog log = JsonEventLog.start(out, "vm-1");
        log.important("server-entry-ignored", Fields.of("reason", "unknown state \ud800 x"));
        log.important("platform-read", Fields.of("revision", "1/7"));
        log.close();
        assertThat(out.toString(StandardCharsets.UTF_8)).contains("unknown state ? x");
        assertThat(out.toString(StandardCharsets.UTF_8)).contains("platform-read");
    }

    /** Never returns from a write. */
    private static final class BlockedStream extends OutputStream {
        private final CountDownLatch blocked;
        private final CountDownLatch never = new CountDownLatch(1);

        BlockedStream(CountDownLatch blocked) {
            this.blocked = blocked;
        }

        @Override
        public void write(int b) throws IOException {
            blocked.countDown();
            try {
                never.await();
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
        }
    }
}
