package io.coppershelf.membership.internal;

import io.coppershelf.membership.Vm;
import java.util.List;

/** What happens to the membership of a VM. */
sealed interface MembershipEvent {
    /** The platform's list was read, or taken from a peer. */
    record ListReceived(long revision, List<Vm> vms) implements MembershipEvent {}

    /** A VM introduced itself; it counts once it has answered a probe. */
    record Introduced(MemberUpdate sender) implements MembershipEvent {}

    /** A VM of the fleet passed statements on. */
    record UpdatesReceived(String sender, List<MemberUpdate> updates) implements MembershipEvent {}

    /** A VM answered a probe of this one, or its request to join. */
    record ProbeAnswered(MemberUpdate answerer, List<MemberUpdate> updates, long digest, long listRevision)
            implements MembershipEvent {}

    /** A VM did not answer a probe. */
    record ProbeFailed(Vm target, long beganNanos) implements MembershipEvent {}

    /** Another VM tells whether the target answered its own probe. */
    record IndirectProbeEnded(Vm target, String witness, boolean isReached, long beganNanos)
            implements MembershipEvent {}

    /** A VM said that it leaves. */
    record LeaveReceived(String id, long incarnation) implements MembershipEvent {}

    /** This VM begins to leave. */
    record LeaveStarted() implements MembershipEvent {}

    /** Time passed; sent every {@link MembershipDecisions#TICK_MILLIS}. */
    record Tick() implements MembershipEvent {}
}
