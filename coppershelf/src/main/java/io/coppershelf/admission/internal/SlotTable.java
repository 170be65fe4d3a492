package io.coppershelf.admission.internal;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** The attempts that run on each server. An attempt occupies its slot from dispatch to its end. */
public final class SlotTable {
    private final Map<String, RunningAttempt> byAttempt = new HashMap<>();
    private final Map<String, Map<String, RunningAttempt>> byServer = new HashMap<>();

    /**
     * Occupies a slot of the attempt's server.
     *
     * @throws IllegalStateException if the attempt occupies a slot already
     */
    public void occupy(RunningAttempt running) {
        if (byAttempt.putIfAbsent(running.attemptId(), running) != null) {
            throw new IllegalStateException("attempt \"" + running.attemptId() + "\" occupies a slot already");
        }
        byServer.computeIfAbsent(running.server(), server -> new LinkedHashMap<>())
                .put(running.attemptId(), running);
    }

    /** Releases the slot of the attempt; returns the attempt, empty if it occupies none. */
    public Optional<RunningAttempt> release(String attemptId) {
        Optional<RunningAttempt> running = Optional.ofNullable(byAttempt.remove(attemptId));
        running.ifPresent(ended -> byServer.get(ended.server()).remove(attemptId));
        return running;
    }

    /** Returns the attempt if it occupies a slot. */
    public Optional<RunningAttempt> find(String attemptId) {
        return Optional.ofNullable(byAttempt.get(attemptId));
    }

    /** Returns the attempts that run on the server, the oldest first. */
    public Collection<RunningAttempt> running(String server) {
        return Collections.unmodifiableCollection(
                byServer.getOrDefault(server, Map.of()).values());
    }

    /** Returns the number of attempts that run on the server. */
    public int inFlight(String server) {
        return byServer.getOrDefault(server, Map.of()).size();
    }
}
