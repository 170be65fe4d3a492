package io.coppershelf.admission.internal;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** The exact count of the tries that run on each server. A try holds its slot from dispatch to its end. */
public final class SlotTable {
    private final Map<String, RunningAttempt> byTry = new HashMap<>();
    private final Map<String, Map<String, RunningAttempt>> byServer = new HashMap<>();

    /**
     * Takes a slot of the try's server.
     *
     * @throws IllegalStateException if the try holds a slot already
     */
    public void occupy(RunningAttempt running) {
        if (byTry.putIfAbsent(running.attemptId(), running) != null) {
            throw new IllegalStateException("try \"" + running.attemptId() + "\" holds a slot already");
        }
        byServer.computeIfAbsent(running.server(), server -> new LinkedHashMap<>())
                .put(running.attemptId(), running);
    }

    /** Frees the slot of the try; returns the try, empty if it holds none. */
    public Optional<RunningAttempt> release(String attemptId) {
        Optional<RunningAttempt> running = Optional.ofNullable(byTry.remove(attemptId));
        running.ifPresent(ended -> byServer.get(ended.server()).remove(attemptId));
        return running;
    }

    /** Returns the try if it runs. */
    public Optional<RunningAttempt> find(String attemptId) {
        return Optional.ofNullable(byTry.get(attemptId));
    }

    /** Returns the tries that run on the server, the oldest first. */
    public Collection<RunningAttempt> running(String server) {
        return Collections.unmodifiableCollection(
                byServer.getOrDefault(server, Map.of()).values());
    }

    /** Returns the number of tries that run on the server. */
    public int inFlight(String server) {
        return byServer.getOrDefault(server, Map.of()).size();
    }
}
