package io.coppershelf.settings;

import io.coppershelf.component.ComponentKey;
import java.net.URI;
import java.util.List;

/**
 * The settings of a daemon.
 *
 * @param vm the id of this VM
 * @param dataCentre the data centre of this VM
 * @param host the IP address on which it listens and at which peers reach it
 * @param callerPort the TCP port for callers
 * @param peerPort the TCP port for peers
 * @param operatorPort the TCP port for operators
 * @param platform the platform's address
 * @param seeds the peers to contact first at start, before the platform's list has been read
 * @param stopSeconds the time limit of a planned stop, in seconds
 * @param trafficThreads the number of traffic threads
 * @param largestHead the maximum size of the head of a caller's request, in bytes
 */
public record Settings(
        String vm,
        String dataCentre,
        String host,
        int callerPort,
        int peerPort,
        int operatorPort,
        URI platform,
        List<Seed> seeds,
        int stopSeconds,
        int trafficThreads,
        int largestHead) {
    public static final ComponentKey<Settings> NAME = ComponentKey.named("settings", Settings.class);

    public Settings {
        seeds = List.copyOf(seeds);
    }

    /**
     * A peer that is configured in the settings.
     *
     * @param host its IP address
     * @param peerPort its TCP port for peers
     */
    public record Seed(String host, int peerPort) {}
}
