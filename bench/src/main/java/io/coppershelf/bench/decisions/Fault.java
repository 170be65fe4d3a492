package io.coppershelf.bench.decisions;

/** The injected faults. */
enum Fault {
    NONE("none"),
    STALL("full stall, good probes"),
    SLOW_3("slow x3"),
    SLOW_5("slow x5"),
    SLOW_20("slow x20"),
    ERRORS("errors on one kind"),
    FLAPPING("flapping 5 s / 5 s"),
    REPORTS("misleading load reports"),
    CUT("one-way cut VM-server"),
    PAUSE("observer paused 30 s"),
    COLD("cold start"),
    DRAIN("drain"),
    SHEDDING("shedding"),
    TWO_STALLED("two stalled");

    private final String title;

    Fault(String title) {
        this.title = title;
    }

    /** Returns the name in the tables. */
    String title() {
        return title;
    }

    /** Returns whether the fault makes a server unhealthy, so that it should be ejected. */
    boolean makesServerUnhealthy() {
        return switch (this) {
            case STALL, SLOW_3, SLOW_5, SLOW_20, ERRORS, FLAPPING, CUT, TWO_STALLED -> true;
            case NONE, REPORTS, PAUSE, COLD, DRAIN, SHEDDING -> false;
        };
    }
}
