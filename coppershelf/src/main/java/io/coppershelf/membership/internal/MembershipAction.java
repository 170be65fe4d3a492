package io.coppershelf.membership.internal;

import io.coppershelf.membership.Vm;

/** What the membership wants done. */
sealed interface MembershipAction {
    /** Probe the VM; the end of it follows as an event. */
    record Probe(Vm target) implements MembershipAction {}

    /** Ask the witness to probe the target. */
    record IndirectProbe(Vm witness, Vm target) implements MembershipAction {}

    /** Ask the VM for all that it knows. */
    record Pull(Vm target) implements MembershipAction {}

    /** Ask the VM for the platform's list, of which it has a fresher revision. */
    record PullList(Vm target) implements MembershipAction {}

    /** Ask the seeds of the settings for all that they know. */
    record Join() implements MembershipAction {}

    /** Tell the VM that this one leaves. */
    record SendLeave(Vm target) implements MembershipAction {}

    /** Publish the view, which has changed. */
    record Publish() implements MembershipAction {}

    /** Record a change on the time line. */
    record RecordChange(String text) implements MembershipAction {}
}
