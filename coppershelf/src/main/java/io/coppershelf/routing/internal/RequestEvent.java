package io.coppershelf.routing.internal;

import io.coppershelf.admission.AttemptResult;

/** An event of a caller's request. */
public sealed interface RequestEvent {
    /** The request may be sent: it needs no claim, or its claim was granted. */
    record Started() implements RequestEvent {}

    /** An attempt ended. */
    record AttemptEnded(int number, AttemptResult result) implements RequestEvent {}

    /** The first attempt takes longer than is typical for its route. */
    record HedgeDue() implements RequestEvent {}

    /** The deadline is so near that no further attempt is sent. */
    record SendCutoffReached() implements RequestEvent {}

    /** The deadline passed. */
    record DeadlinePassed() implements RequestEvent {}
}
