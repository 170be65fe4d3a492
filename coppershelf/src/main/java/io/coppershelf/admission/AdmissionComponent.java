package io.coppershelf.admission;

import io.coppershelf.admission.internal.runtime.Admission;
import io.coppershelf.component.Component;
import io.coppershelf.component.ComponentRegistry;
import java.time.Duration;

/** The component that serves server groups as their owner and forwards attempts to other owners. */
public final class AdmissionComponent implements Component {
    private final Admission admission = new Admission();

    @Override
    public String name() {
        return "admission";
    }

    @Override
    public void register(ComponentRegistry registry) {
        registry.register(AttemptSender.NAME, admission);
    }

    @Override
    public void start(ComponentRegistry registry) {
        admission.start(registry);
    }

    @Override
    public void stop(Duration limit) {
        admission.stop(limit);
    }
}
