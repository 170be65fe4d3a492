package io.coppershelf.health.estimate;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Pattern: a server fails most requests for some seconds while its probes are good, and each VM sees it rarely. */
final class HealthEstimateTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    @Test
    void oneFailureOfAnUnknownServerMakesItSuspect() {
        HealthEstimate belief = HealthEstimate.initial(0).after(Observation.FAILURE, 0);
        assertThat(belief.isSuspected(0)).isTrue();
    }

    @Test
    void oneFailureOfAProvenServerIsForgivenAfterASuccess() {
        HealthEstimate belief = HealthEstimate.initial(0);
        for (int i = 0; i < 10; i++) {
            belief = belief.after(Observation.SUCCESS, 0);
        }
        HealthEstimate failedOnce = belief.after(Observation.FAILURE, 0);
        assertThat(failedOnce.unhealthyProbabilityAt(0)).isLessThan(0.3);
        assertThat(failedOnce.after(Observation.SUCCESS, 0).isSuspected(0)).isFalse();
    }

    @Test
    void twoFailuresOfAProvenServerMakeItSuspect() {
        HealthEstimate belief = HealthEstimate.initial(0);
        for (int i = 0; i < 10; i++) {
            belief = belief.after(Observation.SUCCESS, 0);
        }
        belief = belief.after(Observation.FAILURE, 0).after(Observation.FAILURE, 0);
        assertThat(belief.isSuspected(0)).isTrue();
    }

    @Test
    void suspicionFadesWithoutObservations() {
        HealthEstimate belief = HealthEstimate.initial(0).after(Observation.FAILURE, 0);
        assertThat(belief.unhealthyProbabilityAt(60 * SECOND)).isWithin(0.01).of(HealthEstimate.BASE_SICKNESS);
    }

    @Test
    void serverThatFailedIsNotWorthATryWhileASicknessLasts() {
        HealthEstimate belief = HealthEstimate.initial(0).after(Observation.FAILURE, 0);
        assertThat(belief.allowsTrialRequest(9 * SECOND)).isFalse();
        assertThat(belief.allowsTrialRequest(12 * SECOND)).isTrue();
    }

    @Test
    void serverThatFailsTheTryIsLeftAloneAnew() {
        HealthEstimate belief =
                HealthEstimate.initial(0).after(Observation.FAILURE, 0).after(Observation.FAILURE, 12 * SECOND);
        assertThat(belief.allowsTrialRequest(20 * SECOND)).isFalse();
        assertThat(belief.allowsTrialRequest(24 * SECOND)).isTrue();
    }

    @Test
    void unknownAndProvenServersAreWorthATry() {
        HealthEstimate unknown = HealthEstimate.initial(0);
        assertThat(unknown.allowsTrialRequest(SECOND)).isTrue();
        assertThat(unknown.after(Observation.SUCCESS, 0).allowsTrialRequest(60 * SECOND))
                .isTrue();
    }

    @Test
    void successesOfASickServerRestoreTrustWithinAFewRequests() {
        HealthEstimate belief = HealthEstimate.initial(0);
        for (int i = 0; i < 20; i++) {
            belief = belief.after(Observation.FAILURE, 0);
        }
        for (int i = 0; i < 8; i++) {
            belief = belief.after(Observation.SUCCESS, 0);
        }
        assertThat(belief.isSuspected(0)).isFalse();
    }

    @Test
    void tableTellsNewsOnlyOfWhatOthersDoNotExpect() {
        HealthEstimates table = new HealthEstimates();
        assertThat(table.observe("s", Observation.SUCCESS, 0)).isTrue();
        for (int i = 0; i < 5; i++) {
            table.observe("s", Observation.SUCCESS, 0);
        }
        assertThat(table.observe("s", Observation.SUCCESS, 0)).isFalse();
        assertThat(table.observe("s", Observation.FAILURE, 0)).isTrue();
    }
}
