package io.coppershelf.ticket.internal.spread;

import io.coppershelf.ticket.Configuration;
import io.coppershelf.ticket.ConfigurationStore;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Holds the configuration in force. */
public final class ConfigurationHolder implements Configuration.Source {
    private final List<Runnable> listeners = new CopyOnWriteArrayList<>();
    private volatile Configuration configuration = new ConfigurationStore().snapshot();

    @Override
    public Configuration current() {
        return configuration;
    }

    @Override
    public void onChange(Runnable listener) {
        listeners.add(listener);
    }

    void publish(Configuration next) {
        configuration = next;
        listeners.forEach(Runnable::run);
    }
}
