package io.coppershelf.backend;

import io.coppershelf.backend.internal.HttpBackendClient;
import io.coppershelf.backend.internal.HttpClients;
import io.coppershelf.kernel.Part;
import io.coppershelf.kernel.ServiceRegistry;
import io.coppershelf.kernel.TimeSource;
import io.coppershelf.settings.Settings;
import java.time.Duration;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** The part that sends to backend servers. */
public final class BackendPart implements Part {
    private ExecutorService executor;

    /** Creates the part and sets the properties of the JDK's client, before its classes load. */
    public BackendPart() {
        HttpClients.applySystemProperties();
    }

    @Override
    public String name() {
        return "backend";
    }

    @Override
    public void register(ServiceRegistry registry) {
        int threads = registry.require(Settings.NAME).trafficThreads();
        executor = Executors.newFixedThreadPool(threads, task -> new Thread(task, "backend"));
        TimeSource time = registry.require(TimeSource.NAME);
        registry.register(BackendClient.NAME, new HttpBackendClient(new HttpClients(executor, time), time));
    }

    @Override
    public void start(ServiceRegistry registry) {}

    @Override
    public void stop(Duration limit) {
        executor.shutdown();
    }
}
