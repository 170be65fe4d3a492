package io.coppershelf.backend;

import io.coppershelf.backend.internal.HttpBackendClient;
import io.coppershelf.backend.internal.HttpClientHolder;
import io.coppershelf.component.Component;
import io.coppershelf.component.ComponentRegistry;
import io.coppershelf.component.TimeSource;
import io.coppershelf.settings.Settings;
import java.time.Duration;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** The component that sends requests to backend servers. */
public final class BackendComponent implements Component {
    private ExecutorService executor;

    /** Creates the component and sets the system properties of the JDK's HTTP client before its classes are loaded. */
    public BackendComponent() {
        HttpClientHolder.applySystemProperties();
    }

    @Override
    public String name() {
        return "backend";
    }

    @Override
    public void register(ComponentRegistry registry) {
        int threads = registry.require(Settings.NAME).trafficThreads();
        executor = Executors.newFixedThreadPool(threads, task -> new Thread(task, "backend"));
        TimeSource time = registry.require(TimeSource.NAME);
        registry.register(BackendClient.NAME, new HttpBackendClient(new HttpClientHolder(executor, time), time));
    }

    @Override
    public void start(ComponentRegistry registry) {}

    @Override
    public void stop(Duration limit) {
        executor.shutdown();
    }
}
