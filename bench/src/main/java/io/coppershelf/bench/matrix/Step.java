package io.coppershelf.bench.matrix;

/** The steps at which faults are injected. */
enum Step {
    RECEIVED,
    CLAIMED,
    FORWARDED,
    SENT,
    RUNNING,
    ANSWERING,
    TICKET_HALF_SPREAD,
    EJECTION_HALF_GRANTED,
    START,
    STOP
}
