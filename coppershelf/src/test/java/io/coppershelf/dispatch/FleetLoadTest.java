package io.coppershelf.dispatch;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Scenario: many VMs with few requests each share servers with few slots. */
final class FleetLoadTest {
    private static final long SERVER = FleetLoad.codeOf("i-1@5");

    private final FleetLoad load = new FleetLoad();

    @Test
    void countsOfAllVmsAddUp() {
        load.recordInFlight("vm-1", SERVER, 2, 0);
        load.recordInFlight("vm-2", SERVER, 1, 0);
        assertThat(load.inFlightOfOthers(SERVER)).isEqualTo(3);
    }

    @Test
    void laterCountReplacesTheEarlierOne() {
        load.recordInFlight("vm-1", SERVER, 2, 0);
        load.recordInFlight("vm-1", SERVER, 0, 1);
        assertThat(load.inFlightOfOthers(SERVER)).isEqualTo(0);
    }

    @Test
    void countsOfASilentVmExpire() {
        load.recordInFlight("vm-1", SERVER, 2, 0);
        load.recordInFlight("vm-2", SERVER, 1, FleetLoad.EXPIRY_NANOS);
        load.expire(FleetLoad.EXPIRY_NANOS + 1);
        assertThat(load.inFlightOfOthers(SERVER)).isEqualTo(1);
    }

    /** Guards against servers taken for idle although their requests fail before they are reported. */
    @Test
    void reportOfARequestThatHasAlreadyEndedShowsThatThereWasOne() {
        assertThat(load.recordInFlight("vm-1", SERVER, 0, 0)).isTrue();
        assertThat(load.recordInFlight("vm-1", SERVER, 1, 1)).isTrue();
        assertThat(load.recordInFlight("vm-1", SERVER, 0, 2)).isFalse();
        assertThat(load.inFlightOfOthers(SERVER)).isEqualTo(0);
    }
}
