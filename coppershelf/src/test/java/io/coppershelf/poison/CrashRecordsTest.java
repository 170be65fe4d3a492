package io.coppershelf.poison;

import static com.google.common.truth.Truth.assertThat;

import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class CrashRecordsTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final long MINUTE = TimeUnit.MINUTES.toNanos(1);
    private static final RequestFingerprint POISON = new RequestFingerprint(1, 2);
    private static final RequestFingerprint OTHER_BODY = new RequestFingerprint(1, 3);

    private final CrashRecords records = new CrashRecords();

    @Test
    void requestIsQuarantinedOnceThreeServersCrashedUnderIt() {
        records.recordCrash(POISON, 1, 0);
        records.recordCrash(POISON, 2, SECOND);
        assertThat(records.quarantine(POISON, SECOND)).isEmpty();
        records.recordCrash(POISON, 3, 2 * SECOND);
        assertThat(records.quarantine(POISON, 2 * SECOND)).isPresent();
    }

    /** Guards against a quarantine of requests that differ in the body alone. */
    @Test
    void requestWithAnotherBodyIsNotQuarantined() {
        quarantine(POISON, 0);
        assertThat(records.hasHead(OTHER_BODY.head())).isTrue();
        assertThat(records.quarantine(OTHER_BODY, SECOND)).isEmpty();
    }

    @Test
    void crashThatSeveralVmsReportCountsOnce() {
        records.recordCrash(POISON, 1, 0);
        records.add(new CrashRecord(POISON, Set.of(1L), 0), 0);
        records.add(new CrashRecord(POISON, Set.of(1L, 2L), 0), 0);
        assertThat(records.quarantine(POISON, 0)).isEmpty();
    }

    @Test
    void crashesThatDifferentVmsSawAddUp() {
        records.recordCrash(POISON, 1, 0);
        records.add(new CrashRecord(POISON, Set.of(2L), 0), 0);
        records.add(new CrashRecord(POISON, Set.of(3L), 0), 0);
        assertThat(records.quarantine(POISON, 0)).isPresent();
    }

    /** Guards against a quarantine of requests that were only in flight when servers ended for other reasons. */
    @Test
    void successClearsTheRequest() {
        records.recordCrash(POISON, 1, 0);
        records.recordCrash(POISON, 2, 0);
        assertThat(records.clear(POISON)).isTrue();
        records.recordCrash(POISON, 3, SECOND);
        assertThat(records.quarantine(POISON, SECOND)).isEmpty();
    }

    /** Guards against a request that is forgotten while its caller still sends it, or never sent again. */
    @Test
    void quarantineEndsAndEachFurtherCrashMakesItLonger() {
        quarantine(POISON, 0);
        assertThat(records.quarantine(POISON, 59 * SECOND)).isPresent();
        assertThat(records.quarantine(POISON, 61 * SECOND)).isEmpty();
        records.recordCrash(POISON, 4, 61 * SECOND);
        assertThat(records.quarantine(POISON, 4 * MINUTE)).isPresent();
        assertThat(records.quarantine(POISON, 6 * MINUTE)).isEmpty();
        for (int server = 5; server < 20; server++) {
            records.recordCrash(POISON, server, 6 * MINUTE);
        }
        assertThat(records.quarantine(POISON, 65 * MINUTE)).isPresent();
        assertThat(records.quarantine(POISON, 67 * MINUTE)).isEmpty();
    }

    @Test
    void requestIsForgottenTwoHoursAfterTheLastCrash() {
        quarantine(POISON, 0);
        records.recordCrash(OTHER_BODY, 9, 121 * MINUTE);
        assertThat(records.record(POISON)).isEmpty();
    }

    /** Guards against records that grow without bound, or drop a quarantined request for one that is not. */
    @Test
    void recordsAreBoundedAndKeepQuarantinedRequests() {
        quarantine(POISON, 0);
        for (int i = 0; i < 5 * CrashRecords.MAX_RECORDS; i++) {
            records.recordCrash(new RequestFingerprint(100 + i, 0), i, SECOND + i);
        }
        long kept = 0;
        for (int i = 0; i < 5 * CrashRecords.MAX_RECORDS; i++) {
            kept += records.record(new RequestFingerprint(100 + i, 0)).isPresent() ? 1 : 0;
        }
        assertThat(kept).isEqualTo(CrashRecords.MAX_RECORDS - 1);
        assertThat(records.quarantine(POISON, 2 * SECOND)).isPresent();
    }

    @Test
    void onlyQuarantinedRequestsAreRepeatedToOtherVms() {
        records.recordCrash(OTHER_BODY, 1, 0);
        assertThat(records.quarantined(16, new Random(1))).isEmpty();
        quarantine(POISON, 0);
        assertThat(records.quarantined(16, new Random(1))).hasSize(1);
        assertThat(records.quarantined(0, new Random(1))).isEmpty();
    }

    private void quarantine(RequestFingerprint request, long atNanos) {
        for (int server = 1; server <= CrashRecord.CRASH_LIMIT; server++) {
            records.recordCrash(request, server, atNanos);
        }
    }
}
