package io.coppershelf.routing.internal;

import io.coppershelf.admission.TryResult;

/** What happens to a request of a caller. */
public sealed interface RequestEvent {
    /** The request may be sent: it needed no claim, or its claim was granted. */
    record Started() implements RequestEvent {}

    /** A try ended. */
    record TryEnded(int number, TryResult result) implements RequestEvent {}

    /** The first try takes longer than its kind usually does. */
    record HedgeDue() implements RequestEvent {}

    /** The deadline is so near that nothing more is sent. */
    record GaveUp() implements RequestEvent {}

    /** The deadline is here. */
    record DeadlinePassed() implements RequestEvent {}
}
