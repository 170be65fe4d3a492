package io.coppershelf.dispatch;

import static com.google.common.truth.Truth.assertWithMessage;

import io.coppershelf.catalog.RequestKind;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Load: ordinary traffic, more than three requests a server in two seconds; a third of the servers fails for a second
 * now and then, and one request in a hundred takes five times as long.
 */
final class RecoveredServerUseTest {
    /** Guards against servers that get nothing for seconds after one slow request or a short failure. */
    @ParameterizedTest
    @CsvSource({"36, 1", "94, 1", "94, 2"})
    void eachRecoveredServerGetsARequestInAnyTwoSeconds(int size, long seed) {
        RecoveringFleet fleet = new RecoveringFleet(size, 64, 117, RequestKind.REPEATABLE, seed);
        assertWithMessage(fleet.toString()).that(fleet.idleMillis()).isEmpty();
    }

    /** Guards against a service below its floor since servers that failed shortly are avoided for much longer. */
    @ParameterizedTest
    @CsvSource({"36, ONCE, 1", "94, ONCE, 1", "94, ONCE, 2", "94, LARGE_REQUEST, 1"})
    @Tag("known-red")
    void enoughRecoveredServersAreInUseIfNoRequestMayBeLost(int size, RequestKind kind, long seed) {
        RecoveringFleet fleet = new RecoveringFleet(size, 64, 117, kind, seed);
        assertWithMessage(fleet.toString()).that(fleet.belowFloorShare()).isEqualTo(0.0);
    }
}
