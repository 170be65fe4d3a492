package io.coppershelf.bench.backend;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** The faults that can be injected into one backend server. */
public enum ServerFault {
    /** Accepts requests but does not run them until the fault is cleared; probes are answered. */
    STALL,
    /** Runs requests, with the service time multiplied by the argument. */
    SLOW,
    /** Answers 500 to requests whose path contains the argument. */
    ERRORS,
    /** Alternates between stalling and normal service; the argument is the length of each phase in milliseconds. */
    FLAP,
    /** Runs the request, then closes the connection without an answer. */
    DIE_AFTER_RUN,
    /** Sends half of the body that {@code Content-Length} announces, then closes the connection. */
    TRUNCATE,
    /** Answers with the attempt id of another request. */
    FOREIGN,
    /** Answers with a body larger than any route allows. */
    OVERSIZE,
    /** Runs the request only after its deadline has passed. */
    LATE,
    /** Reports that it is cold; the service time is tripled. */
    COLD,
    /** Reports that it is draining and rejects new work. */
    DRAIN,
    /** Reports that it is shedding load and rejects all work. */
    SHED,
    /** Runs requests of the VM named by the argument but closes the connection without an answer. */
    CUT_OUT,
    /** Reports a load of zero, whatever it runs. */
    MISREPORT;

    /** Returns the fault of the given name, as in {@code die-after-run}. */
    public static Optional<ServerFault> named(String name) {
        return Arrays.stream(values())
                .filter(fault -> fault.adminName().equals(name))
                .findFirst();
    }

    /** Returns the name by which the admin interface accepts the fault. */
    public String adminName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
