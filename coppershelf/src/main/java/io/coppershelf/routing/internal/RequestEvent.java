package io.coppershelf.routing.internal;

import io.coppershelf.admission.AttemptResult;

/** What happens to a request of a caller. */
public sealed interface RequestEvent {
    /** The request may be sent: it needed no claim, or its claim was granted. */
    record Started() implements RequestEvent {}

    /** A try ended. */
    record AttemptEnded(int number, AttemptResult result) implements RequestEvent {}

    /** The first try takes longer than its kind usually does. */
    record HedgeDue() implements RequestEvent {}

    /** The deadline is so near that nothing more is sent. */
    record SendCutoffReached() implements RequestEvent {}

    /** The deadline is here. */
    record DeadlinePassed() implements RequestEvent {}
}
