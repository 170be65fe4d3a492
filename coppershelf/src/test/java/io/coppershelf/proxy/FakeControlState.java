package io.coppershelf.proxy;

import io.coppershelf.catalog.BackendServer;
import io.coppershelf.catalog.Catalog;
import io.coppershelf.dispatch.FleetPosition;
import io.coppershelf.health.estimate.Observation;
import io.coppershelf.poison.CrashRecord;
import io.coppershelf.poison.RequestFingerprint;
import io.coppershelf.quota.TokenSource;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;

/** A control state that a test sets. */
final class FakeControlState implements ControlState, FleetReports {
    private volatile Catalog catalog = Catalog.EMPTY;
    private volatile boolean isStopping;
    private volatile boolean isConfigurationCurrent = true;
    private volatile boolean isConfigurationSufficient = true;
    private volatile Optional<TokenSource> tokens = Optional.empty();
    private volatile List<InetSocketAddress> relays = List.of();
    private final List<Boolean> reachable = new CopyOnWriteArrayList<>();
    private final List<String> leaving = new CopyOnWriteArrayList<>();
    private final List<Optional<Double>> limits = new CopyOnWriteArrayList<>();
    private final List<Observation> observations = new CopyOnWriteArrayList<>();

    /** Sets the addresses of other VMs that accept requests of this one. */
    void relays(InetSocketAddress... addresses) {
        relays = List.of(addresses);
    }

    /** Returns whether servers were reachable, after each change. */
    List<Boolean> reachable() {
        return reachable;
    }

    void use(Catalog newCatalog) {
        catalog = newCatalog;
    }

    void stop() {
        isStopping = true;
    }

    List<Observation> observations() {
        return observations;
    }

    @Override
    public Catalog catalog() {
        return catalog;
    }

    /** Sets that a newer configuration is known to be published. */
    void announceNewerConfiguration() {
        isConfigurationCurrent = false;
    }

    @Override
    public boolean isConfigurationCurrent() {
        return isConfigurationCurrent;
    }

    /** Sets that the configuration was found to be old when this VM started. */
    void requireNewerConfiguration() {
        isConfigurationCurrent = false;
        isConfigurationSufficient = false;
    }

    @Override
    public boolean isConfigurationSufficient() {
        return isConfigurationSufficient;
    }

    /** Puts usage caps in force. */
    void use(TokenSource source) {
        tokens = Optional.of(source);
    }

    @Override
    public Optional<TokenSource> tokens() {
        return tokens;
    }

    @Override
    public FleetPosition fleetPosition() {
        return new FleetPosition(0, 1);
    }

    @Override
    public boolean isStopping() {
        return isStopping;
    }

    @Override
    public Optional<InetSocketAddress> relay(Set<InetSocketAddress> excluded) {
        return relays.stream().filter(relay -> !excluded.contains(relay)).findFirst();
    }

    @Override
    public void serversReachable(boolean isReachable) {
        reachable.add(isReachable);
    }

    @Override
    public FleetReports reports() {
        return this;
    }

    @Override
    public void loadChanged(BackendServer server, int inFlight, boolean isStart) {
        // Tests of this package have one VM.
    }

    @Override
    public void serverLeaving(BackendServer server) {
        leaving.add(server.id());
    }

    /** Returns the ids of the servers that announced that they leave. */
    List<String> leaving() {
        return leaving;
    }

    @Override
    public void serverLimited(BackendServer server, Optional<Double> perSecond) {
        limits.add(perSecond);
    }

    /** Returns the limits that servers named, in their order. */
    List<Optional<Double>> limits() {
        return limits;
    }

    @Override
    public void requestCrashed(List<CrashRecord> records) {
        // Tests of this package have one VM.
    }

    @Override
    public void requestCleared(List<RequestFingerprint> fingerprints) {
        // Tests of this package have one VM.
    }

    @Override
    public void observed(BackendServer server, Observation observation) {
        observations.add(observation);
    }
}
