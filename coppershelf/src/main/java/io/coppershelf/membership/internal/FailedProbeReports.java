package io.coppershelf.membership.internal;

import io.coppershelf.membership.Vm;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Collects, for each VM that did not reply to a probe, the VMs whose probes of it failed. */
final class FailedProbeReports {
    private static final int REQUIRED_REPORTERS = 3;
    private static final int MIN_REPORTERS = 2;

    private final Map<String, Set<String>> reporters = new HashMap<>();

    /** Starts the collection for a VM with the failed probe of this VM itself. */
    void begin(Vm target, String self) {
        Set<String> first = new HashSet<>();
        first.add(self);
        reporters.put(target.id(), first);
    }

    /** Ends the collection for a VM, which was reached or is suspected now. */
    void clear(String id) {
        reporters.remove(id);
    }

    void clearAll() {
        reporters.clear();
    }

    /**
     * Records the failed probe of another VM.
     *
     * @param others the number of live VMs apart from the target
     * @return whether enough probes failed to suspect the target: those of three VMs, or of two if there are only two
     *     others; one VM is never enough
     */
    boolean add(Vm target, String reporter, int others) {
        Set<String> targetReporters = reporters.get(target.id());
        if (targetReporters == null) {
            return false;
        }
        targetReporters.add(reporter);
        return targetReporters.size() >= Math.max(MIN_REPORTERS, Math.min(REQUIRED_REPORTERS, others));
    }
}
