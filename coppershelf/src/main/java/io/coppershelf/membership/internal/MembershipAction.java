package io.coppershelf.membership.internal;

import io.coppershelf.membership.Vm;

/** An action that {@link MembershipDecisions} returns for the driver to carry out. */
sealed interface MembershipAction {
    /** Probe the VM; the result is reported as an event. */
    record Probe(Vm target) implements MembershipAction {}

    /** Request that the witness probes the target. */
    record IndirectProbe(Vm witness, Vm target) implements MembershipAction {}

    /** Request all updates of the VM. */
    record Pull(Vm target) implements MembershipAction {}

    /** Request the platform's VM list from the VM, which has a newer revision. */
    record PullList(Vm target) implements MembershipAction {}

    /** Request all updates of the seeds from the settings. */
    record Join() implements MembershipAction {}

    /** Notify the VM that this one leaves. */
    record SendLeave(Vm target) implements MembershipAction {}

    /** Publish the changed view. */
    record Publish() implements MembershipAction {}

    /** Record a change on the timeline. */
    record RecordChange(String text) implements MembershipAction {}
}
