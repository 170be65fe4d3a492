package io.coppershelf.bench.decisions;

import io.coppershelf.admission.GroupName;
import io.coppershelf.admission.ServerGroup;
import io.coppershelf.admission.ServerGroupDecisions;
import io.coppershelf.bench.decisions.baseline.BaselineGroup;
import io.coppershelf.bench.decisions.baseline.ConsecutiveErrors;
import io.coppershelf.bench.decisions.baseline.LoadReports;
import io.coppershelf.bench.decisions.baseline.NoDetector;
import io.coppershelf.bench.decisions.baseline.ProbesOnly;
import io.coppershelf.bench.decisions.baseline.RoundRobin;
import io.coppershelf.bench.decisions.baseline.SuccessRateOutliers;
import io.coppershelf.bench.decisions.baseline.TwoChoices;
import io.coppershelf.health.HealthPolicy;
import java.util.random.RandomGenerator;

/** The measured policies: those of coppershelf and the baselines. */
enum Policy {
    COPPERSHELF("coppershelf", Layout.OWNER_PER_GROUP),
    UNEQUAL("coppershelf, shorter limits after an ejection", Layout.OWNER_PER_GROUP),
    OWNER_PER_SERVER("owner per server", Layout.OWNER_PER_SERVER),
    LEASES("leases of slots", Layout.LEASES),
    PROBES("probes only", Layout.OWNER_PER_SERVICE),
    FIVE_ERRORS("five consecutive errors", Layout.OWNER_PER_SERVICE),
    OUTLIERS("success-rate outliers", Layout.OWNER_PER_SERVICE),
    ROUND_ROBIN("round robin", Layout.EACH_VM_ALONE),
    TWO_CHOICES("two choices on reported load", Layout.EACH_VM_ALONE);

    /** Factor on the limits of servers that were ejected not long ago. */
    private static final double HISTORY_FACTOR = 0.6;

    private final String title;
    private final Layout layout;

    Policy(String title, Layout layout) {
        this.title = title;
        this.layout = layout;
    }

    String title() {
        return title;
    }

    Layout layout() {
        return layout;
    }

    /** Creates the decisions that one host makes under this policy. */
    ServerGroupDecisions create(GroupName name, LoadReports reports, RandomGenerator random) {
        return switch (this) {
            case COPPERSHELF, OWNER_PER_SERVER, LEASES -> ServerGroup.create(name, random);
            case UNEQUAL ->
                ServerGroup.create(
                        name,
                        random,
                        service -> HealthPolicy.forDetectionWeight(service.detectionWeight())
                                .withHistoryFactor(HISTORY_FACTOR));
            case PROBES -> BaselineGroup.exact(new ProbesOnly());
            case FIVE_ERRORS -> BaselineGroup.exact(new ConsecutiveErrors());
            case OUTLIERS -> BaselineGroup.exact(new SuccessRateOutliers());
            case ROUND_ROBIN -> BaselineGroup.uncoordinated(new RoundRobin(), new NoDetector());
            case TWO_CHOICES -> BaselineGroup.uncoordinated(new TwoChoices(reports, random), new NoDetector());
        };
    }
}
