package io.coppershelf.dispatch;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Scenario in virtual time: new connections from one VM, or from all, to a part of a service's servers fail. */
final class PathLossLoadTest {
    /** Guards against callers who are served far worse since the paths of their VM to some servers are down. */
    @ParameterizedTest
    @ValueSource(doubles = {0.3, 0.6, 0.9})
    void callersOfAVmThatLosesAPartOfTheServersAreServedLikeThoseOfOthers(double share) {
        PathLossFleet fleet = new PathLossFleet(share, false, 0.7);
        assertThat(fleet.vms().get(0).servedShare()).isAtLeast(0.95 * fleet.servedShareOfOthers());
        assertThat(fleet.vms().get(0).refusalP99Millis()).isAtMost(50);
    }

    /** Guards against late refusals while servers are short. */
    @ParameterizedTest
    @ValueSource(doubles = {0.3, 0.6, 0.9})
    void callersOfAVmThatLosesServersAreRefusedAtOnceUnderOverload(double share) {
        PathLossFleet fleet = new PathLossFleet(share, false, 1.3);
        assertThat(fleet.vms().get(0).hasRefusals()).isTrue();
        assertThat(fleet.vms().get(0).servedShare()).isAtLeast(0.95 * fleet.servedShareOfOthers());
        assertThat(fleet.vms().get(0).refusalP99Millis()).isAtMost(50);
    }

    /** Guards against VMs that hand requests to each other since servers have crashed. */
    @Test
    void serversThatNoVmReachesCauseNoRelays() {
        PathLossFleet fleet = new PathLossFleet(0.3, true, 0.6);
        assertThat(fleet.lateRelays()).isEqualTo(0);
        assertThat(fleet.vms().stream()
                        .mapToDouble(PathLossFleet.Vm::servedShare)
                        .min()
                        .getAsDouble())
                .isAtLeast(0.95);
    }

    /** Guards against requests that each wait, or travel through the fleet, to learn that a whole service is down. */
    @Test
    void requestsOfAServiceThatNoVmReachesAreRefusedAtOnce() {
        PathLossFleet fleet = new PathLossFleet(1, true, 0.6);
        for (PathLossFleet.Vm vm : fleet.vms()) {
            assertThat(vm.hasRefusals()).isTrue();
            assertThat(vm.refusalP99Millis()).isAtMost(50);
        }
        long requests =
                fleet.vms().stream().mapToLong(PathLossFleet.Vm::received).sum();
        assertThat(fleet.relays()).isLessThan((int) requests / 10);
    }
}
