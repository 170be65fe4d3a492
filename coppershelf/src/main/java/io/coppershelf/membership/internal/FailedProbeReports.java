package io.coppershelf.membership.internal;

import io.coppershelf.membership.Vm;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Counts, for each VM that did not answer, how many VMs probed it in vain. */
final class FailedProbeReports {
    private static final int ACCUSERS_NEEDED = 3;
    private static final int ACCUSERS_AT_LEAST = 2;

    private final Map<String, Set<String>> accusers = new HashMap<>();

    /** Begins to collect words about the VM, the first one being that of this VM. */
    void begin(Vm target, String self) {
        Set<String> first = new HashSet<>();
        first.add(self);
        accusers.put(target.id(), first);
    }

    /** Ends the collection: the VM was reached. */
    void clear(String id) {
        accusers.remove(id);
    }

    void clearAll() {
        accusers.clear();
    }

    /**
     * Takes the word of one more VM.
     *
     * @param others how many live VMs there are besides the accused
     * @return whether enough VMs probed the accused in vain; one or two VMs alone are never enough of a larger fleet
     */
    boolean add(Vm target, String accuser, int others) {
        Set<String> present = accusers.get(target.id());
        if (present == null) {
            return false;
        }
        present.add(accuser);
        return present.size() >= Math.max(ACCUSERS_AT_LEAST, Math.min(ACCUSERS_NEEDED, others));
    }
}
