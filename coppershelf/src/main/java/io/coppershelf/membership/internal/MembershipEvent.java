package io.coppershelf.membership.internal;

import io.coppershelf.membership.Vm;
import java.util.List;

/** An event that {@link MembershipDecisions} handles. */
sealed interface MembershipEvent {
    /** A VM list of the platform was received, from the platform or from a peer. */
    record ListReceived(long revision, List<Vm> vms) implements MembershipEvent {}

    /** A message from a VM was received; a VM that is not known yet becomes a member when it replies to a probe. */
    record Introduced(MemberUpdate sender) implements MembershipEvent {}

    /** Updates from a live VM of the fleet were received. */
    record UpdatesReceived(String sender, List<MemberUpdate> updates) implements MembershipEvent {}

    /** A VM replied to a probe of this one or to its request to join. */
    record ProbeAnswered(MemberUpdate sender, List<MemberUpdate> updates, long digest, long listRevision)
            implements MembershipEvent {}

    /** A VM did not reply to a probe. */
    record ProbeFailed(Vm target, long startedNanos) implements MembershipEvent {}

    /** A witness reported whether the target replied to its probe. */
    record IndirectProbeEnded(Vm target, String witness, boolean isReached, long startedNanos)
            implements MembershipEvent {}

    /** A VM announced that it leaves. */
    record LeaveReceived(String id, long incarnation) implements MembershipEvent {}

    /** This VM starts to leave. */
    record LeaveStarted() implements MembershipEvent {}

    /** The periodic tick, every {@link MembershipDecisions#TICK_MILLIS}. */
    record Tick() implements MembershipEvent {}
}
