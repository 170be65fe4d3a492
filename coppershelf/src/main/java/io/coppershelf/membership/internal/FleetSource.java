package io.coppershelf.membership.internal;

import io.coppershelf.membership.FleetView;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Holds the view in force. */
public final class FleetSource implements FleetView.Source {
    private final List<Runnable> listeners = new CopyOnWriteArrayList<>();
    private volatile FleetView view;

    /** Creates a source with a first view. */
    public FleetSource(FleetView first) {
        view = first;
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
