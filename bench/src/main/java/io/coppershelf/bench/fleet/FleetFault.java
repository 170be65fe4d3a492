package io.coppershelf.bench.fleet;

import io.coppershelf.bench.backend.BackendAdmin;
import io.coppershelf.bench.backend.ServerFault;
import java.io.IOException;
import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** The faults that the measurement injects into one backend server, one for each row. */
enum FleetFault {
    NONE(Optional.empty(), "", false),
    STALL(Optional.of(ServerFault.STALL), "", true),
    SLOW_3(Optional.of(ServerFault.SLOW), "3", true),
    SLOW_5(Optional.of(ServerFault.SLOW), "5", true),
    SLOW_20(Optional.of(ServerFault.SLOW), "20", true),
    ERRORS(Optional.of(ServerFault.ERRORS), "/", true),
    FLAP(Optional.of(ServerFault.FLAP), "2000", true),
    DIE_AFTER_RUN(Optional.of(ServerFault.DIE_AFTER_RUN), "", true),
    TRUNCATE(Optional.of(ServerFault.TRUNCATE), "", true),
    FOREIGN(Optional.of(ServerFault.FOREIGN), "", true),
    OVERSIZE(Optional.of(ServerFault.OVERSIZE), "", true),
    LATE(Optional.of(ServerFault.LATE), "", true),
    COLD(Optional.of(ServerFault.COLD), "", false),
    DRAIN(Optional.of(ServerFault.DRAIN), "", false),
    SHED(Optional.of(ServerFault.SHED), "", false),
    MISREPORT(Optional.of(ServerFault.MISREPORT), "", false);

    private final Optional<ServerFault> fault;
    private final String argument;
    private final boolean makesServerUnhealthy;

    FleetFault(Optional<ServerFault> fault, String argument, boolean makesServerUnhealthy) {
        this.fault = fault;
        this.argument = argument;
        this.makesServerUnhealthy = makesServerUnhealthy;
    }

    static Optional<FleetFault> withLabel(String name) {
        return Arrays.stream(values())
                .filter(candidate -> candidate.label().equals(name))
                .findFirst();
    }

    String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Returns whether a server with the fault is expected to be ejected. */
    boolean makesServerUnhealthy() {
        return makesServerUnhealthy;
    }

    void injectInto(BackendAdmin backends, String server) throws IOException, InterruptedException {
        if (fault.isPresent()) {
            backends.injectFault(server, fault.get(), argument);
        }
    }
}
