package io.coppershelf.settings;

import io.coppershelf.component.ComponentKey;
import java.net.URI;
import java.util.List;

/**
 * The settings of a daemon.
 *
 * @param vm the id of this VM
 * @param dataCentre the data centre in which it stands
 * @param host the IP number on which it listens and under which peers know it
 * @param callerPort the TCP port for callers
 * @param peerPort the TCP port for peers
 * @param operatorPort the TCP port for operators
 * @param platform the platform's address
 * @param seeds the peers to ask first at start, before the platform's list is known
 * @param stopSeconds the longest time that a planned stop may take, in seconds
 * @param trafficThreads the number of traffic threads
 * @param largestHead the largest head of a caller's request in bytes
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
     * A peer known from the settings.
     *
     * @param host its IP number
     * @param peerPort its TCP port for peers
     */
    public record Seed(String host, int peerPort) {}
}
