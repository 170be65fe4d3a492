package io.coppershelf.poison;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class CrashRecordsTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final long MINUTE = TimeUnit.MINUTES.toNanos(1);

    private final CrashRecords records = new CrashRecords();
    private final RequestIdentity poison = request("10.0.0.1", "/a", "poison");
    private final RequestIdentity otherBody = request("10.0.0.1", "/a", "other");
    private final RequestIdentity otherCaller = request("10.0.0.2", "/a", "poison");

    @Test
    void requestIsQuarantinedOnceThreeServersCrashedUnderIt() {
        records.recordCrash(poison, 1, 0);
        records.recordCrash(poison, 2, SECOND);
        assertThat(records.quarantine(poison, SECOND)).isEmpty();
        records.recordCrash(poison, 3, 2 * SECOND);
        assertThat(records.quarantine(poison, 2 * SECOND)).isPresent();
    }

    /** Guards against a quarantine of requests that differ in the caller or the body alone. */
    @Test
    void requestWithAnotherCallerOrBodyIsNotQuarantined() {
        quarantine(poison, 0);
        assertThat(records.quarantine(otherBody, SECOND)).isEmpty();
        assertThat(records.quarantine(otherCaller, SECOND)).isEmpty();
    }

    /** Guards against a request that comes through another address each time, and is taken for a new one. */
    @Test
    void requestThatComesThroughOtherAddressesEachTimeIsQuarantinedByItsPathAndBody() {
        for (int i = 1; i <= 3; i++) {
            records.recordCrash(request("10.0.0." + i, "/a", "poison"), i, 0);
        }
        assertThat(records.quarantine(request("10.0.0.9", "/a", "poison"), SECOND))
                .isPresent();
        assertThat(records.quarantine(otherBody, SECOND)).isEmpty();
    }

    /** Guards against a request that has another query each time, and a quarantine of other callers of the path. */
    @Test
    void requestThatHasAnotherQueryEachTimeIsQuarantinedByCallerPathAndBody() {
        for (int i = 1; i <= 3; i++) {
            records.recordCrash(request("10.0.0.1", "/a?page=" + i, "poison"), i, 0);
        }
        assertThat(records.quarantine(request("10.0.0.1", "/a?page=9", "poison"), SECOND))
                .isPresent();
        assertThat(records.quarantine(otherCaller, SECOND)).isEmpty();
    }

    /** Guards against requests being blamed for the crashes of another request that was at the same servers. */
    @Test
    void crashesUnderAQuarantinedRequestDoNotCountAgainstOthers() {
        records.recordCrash(otherCaller, 1, 0);
        records.recordCrash(otherCaller, 2, 0);
        quarantine(poison, 0);
        assertThat(records.isOnRecord(otherCaller)).isFalse();
        records.recordCrash(otherCaller, 3, 0);
        records.recordCrash(otherCaller, 4, 0);
        records.recordCrash(otherCaller, 5, 0);
        assertThat(records.quarantine(otherCaller, SECOND)).isEmpty();
    }

    @Test
    void crashThatSeveralVmsReportCountsOnce() {
        CrashRecords other = new CrashRecords();
        other.recordCrash(poison, 1, 0);
        records.recordCrash(poison, 1, 0);
        records.add(other.recordCrash(poison, 2, 0), 0);
        assertThat(records.quarantine(poison, 0)).isEmpty();
    }

    @Test
    void crashesThatDifferentVmsSawAddUp() {
        records.recordCrash(poison, 1, 0);
        records.add(new CrashRecords().recordCrash(poison, 2, 0), 0);
        records.add(new CrashRecords().recordCrash(poison, 3, 0), 0);
        assertThat(records.quarantine(poison, 0)).isPresent();
    }

    /** Guards against a quarantine of requests that were only in flight when servers ended for other reasons. */
    @Test
    void successClearsTheRequest() {
        records.recordCrash(poison, 1, 0);
        records.recordCrash(poison, 2, 0);
        assertThat(records.clear(poison.fingerprints())).isTrue();
        records.recordCrash(poison, 3, SECOND);
        assertThat(records.quarantine(poison, SECOND)).isEmpty();
    }

    /** Guards against a request that is forgotten while its caller still sends it, or never sent again. */
    @Test
    void quarantineEndsAndEachFurtherCrashMakesItLonger() {
        quarantine(poison, 0);
        assertThat(records.quarantine(poison, 59 * SECOND)).isPresent();
        assertThat(records.quarantine(poison, 61 * SECOND)).isEmpty();
        records.recordCrash(poison, 4, 61 * SECOND);
        assertThat(records.quarantine(poison, 4 * MINUTE)).isPresent();
        assertThat(records.quarantine(poison, 6 * MINUTE)).isEmpty();
        for (int server = 5; server < 30; server++) {
            records.recordCrash(poison, server, 6 * MINUTE);
        }
        assertThat(records.quarantine(poison, 65 * MINUTE)).isPresent();
        assertThat(records.quarantine(poison, 67 * MINUTE)).isEmpty();
    }

    @Test
    void requestIsForgottenTwoHoursAfterTheLastCrash() {
        quarantine(poison, 0);
        records.recordCrash(otherBody, 9, 121 * MINUTE);
        assertThat(records.isOnRecord(poison)).isFalse();
    }

    /** Guards against records that grow without bound, or drop a quarantined request for one that is not. */
    @Test
    void recordsAreBoundedAndKeepQuarantinedRequests() {
        quarantine(poison, 0);
        for (int i = 0; i < 2 * CrashRecords.MAX_RECORDS; i++) {
            records.recordCrash(request("10.0.0.1", "/" + i, ""), 100 + i, SECOND + i);
        }
        int kept = 0;
        for (int i = 0; i < 2 * CrashRecords.MAX_RECORDS; i++) {
            for (RequestFingerprint fingerprint :
                    request("10.0.0.1", "/" + i, "").fingerprints()) {
                kept += records.record(fingerprint).isPresent() ? 1 : 0;
            }
        }
        assertThat(kept).isLessThan(CrashRecords.MAX_RECORDS);
        assertThat(records.quarantine(poison, 2 * SECOND)).isPresent();
    }

    @Test
    void onlyQuarantinedRequestsAreRepeatedToOtherVms() {
        records.recordCrash(otherBody, 1, 0);
        assertThat(records.quarantined(16, new Random(1))).isEmpty();
        quarantine(poison, 0);
        assertThat(records.quarantined(16, new Random(1)).stream().map(CrashRecord::request))
                .containsExactly(poison.mostSpecific());
        assertThat(records.quarantined(0, new Random(1))).isEmpty();
    }

    private void quarantine(RequestIdentity request, long atNanos) {
        for (int server = 1; server <= CrashRecord.CRASH_LIMIT; server++) {
            List<CrashRecord> unused = records.recordCrash(request, server, atNanos);
        }
    }

    private static RequestIdentity request(String caller, String uri, String body) {
        return new RequestIdentity(caller, "GET", "host", uri, body.getBytes(StandardCharsets.UTF_8));
    }
}
