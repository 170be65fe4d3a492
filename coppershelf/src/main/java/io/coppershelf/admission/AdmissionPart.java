package io.coppershelf.admission;

import io.coppershelf.admission.internal.runtime.Admission;
import io.coppershelf.kernel.Part;
import io.coppershelf.kernel.ServiceRegistry;
import java.time.Duration;

/** The part that serves server groups as their owner and forwards tries to other owners. */
public final class AdmissionPart implements Part {
    private final Admission admission = new Admission();

    @Override
    public String name() {
        return "admission";
    }

    @Override
    public void register(ServiceRegistry registry) {
        registry.register(GroupOwners.NAME, admission);
    }

    @Override
    public void start(ServiceRegistry registry) {
        admission.start(registry);
    }

    @Override
    public void stop(Duration limit) {
        admission.stop(limit);
    }
}
