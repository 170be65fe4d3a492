package io.coppershelf.proxy;

import io.coppershelf.catalog.BackendServer;
import io.coppershelf.catalog.Catalog;
import io.coppershelf.dispatch.FleetPosition;
import io.coppershelf.health.estimate.Observation;
import io.coppershelf.poison.CrashRecord;
import io.coppershelf.poison.RequestFingerprint;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;

/** A control state that a test sets. */
final class FakeControlState implements ControlState, FleetReports {
    private volatile Catalog catalog = Catalog.EMPTY;
    private volatile boolean isStopping;
    private final List<String> leaving = new CopyOnWriteArrayList<>();
    private final List<Optional<Double>> limits = new CopyOnWriteArrayList<>();
    private final List<Observation> observations = new CopyOnWriteArrayList<>();

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

    @Override
    public FleetPosition fleetPosition() {
        return new FleetPosition(0, 1);
    }

    @Override
    public boolean isStopping() {
        return isStopping;
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
