package io.coppershelf.bench.backend;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** The faults that can be switched on for one backend server. */
public enum ServerFault {
    /** Takes requests and does not run them until the fault ends; probes are answered. */
    STALL,
    /** Runs requests, with the service time multiplied by the argument. */
    SLOW,
    /** Answers 500 to requests whose path contains the argument. */
    ERRORS,
    /** Stalls and recovers in turns of the argument in milliseconds. */
    FLAP,
    /** Runs the request, then closes the connection without an answer. */
    DIE_AFTER_RUN,
    /** Sends half of the announced answer, then closes the connection. */
    TRUNCATE,
    /** Answers with the try id of another request. */
    FOREIGN,
    /** Answers with a body larger than any route allows. */
    OVERSIZE,
    /** Runs the request only after its deadline has passed. */
    LATE,
    /** Says that it is cold, with the service time tripled. */
    COLD,
    /** Says that it is draining and refuses new work. */
    DRAIN,
    /** Sheds all work. */
    SHED,
    /** Takes requests of the VM named by the argument and loses their answers. */
    CUT_OUT,
    /** Says that it has no load, whatever it runs. */
    MISREPORT;

    /** Returns the fault of the given name, as in {@code die-after-run}. */
    public static Optional<ServerFault> named(String name) {
        return Arrays.stream(values())
                .filter(fault -> fault.argument().equals(name))
                .findFirst();
    }

    /** Returns the name as the admin interface takes it. */
    public String argument() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
