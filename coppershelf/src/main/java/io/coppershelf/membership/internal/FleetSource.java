package io.coppershelf.membership.internal;

import io.coppershelf.membership.FleetView;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Holds the current view of the fleet. */
public final class FleetSource implements FleetView.Source {
    private final List<Runnable> listeners = new CopyOnWriteArrayList<>();
    private volatile FleetView view;

    /** Creates a source with an initial view. */
    public FleetSource(FleetView initial) {
        view = initial;
    }

    @Override
    public FleetView current() {
        return view;
    }

    @Override
    public void onChange(Runnable listener) {
        listeners.add(listener);
    }

    void publish(FleetView next) {
        view = next;
        listeners.forEach(Runnable::run);
    }
}
