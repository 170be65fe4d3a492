package io.coppershelf.membership.internal;

import io.coppershelf.membership.Vm;
import io.coppershelf.membership.internal.MembershipEvent.ListReceived;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** All other VMs known to this one, including those that are gone. */
final class MemberTable {
    private static final long GONE_RETENTION_NANOS = TimeUnit.HOURS.toNanos(24);
    private static final int MAX_GONE_MEMBERS = 1024;

    private final String self;
    private final Map<String, Member> members = new TreeMap<>();
    private long listRevision;
    private List<Vm> list = List.of();
    private long version;

    MemberTable(String self) {
        this.self = self;
    }

    /** Returns the revision of the last VM list of the platform, 0 if there is none. */
    long listRevision() {
        return listRevision;
    }

    /** Returns the last VM list of the platform. */
    List<Vm> list() {
        return list;
    }

    /** Returns a number that grows with each change of the view. */
    long version() {
        return version;
    }

    Optional<Member> member(String id) {
        return Optional.ofNullable(members.get(id));
    }

    Member require(String id) {
        return member(id).orElseThrow();
    }

    /** Returns the live member with the same incarnation; incarnation 0 matches any. */
    Optional<Member> live(Vm vm) {
        return member(vm.id())
                .filter(Member::isLive)
                .filter(member -> vm.incarnation() == 0
                        || vm.incarnation() == member.update().vm().incarnation());
    }

    boolean isLive(String id) {
        return member(id).filter(Member::isLive).isPresent();
    }

    boolean isRecoverable(String id) {
        return member(id)
                .filter(member -> !member.isLive() && !member.isDroppedFromList())
                .isPresent();
    }

    List<String> liveIds() {
        return members.keySet().stream().filter(this::isLive).toList();
    }

    List<String> recoverableIds() {
        return members.keySet().stream().filter(this::isRecoverable).toList();
    }

    List<Vm> liveVms() {
        return liveMembers().map(Member::vm).collect(Collectors.toCollection(ArrayList::new));
    }

    int liveCount() {
        return (int) liveMembers().count();
    }

    List<Member> withStatus(MemberStatus status) {
        return members.values().stream()
                .filter(member -> member.hasStatus(status))
                .toList();
    }

    /** Returns the VMs that replied to the last probe of this one, except the given one. */
    List<Vm> otherRespondingVms(String id) {
        return liveMembers()
                .filter(member ->
                        member.isResponding() && !member.update().vm().id().equals(id))
                .map(Member::vm)
                .collect(Collectors.toCollection(ArrayList::new));
    }

    List<MemberUpdate> updates() {
        return members.values().stream().map(Member::update).collect(Collectors.toCollection(ArrayList::new));
    }

    long digest() {
        return liveMembers().mapToLong(Member::hash).reduce(0, (a, b) -> a ^ b);
    }

    FleetSnapshot view(Vm selfVm) {
        Set<String> responding = liveMembers()
                .filter(Member::isResponding)
                .map(member -> member.update().vm().id())
                .collect(Collectors.toSet());
        long gone = members.values().stream()
                .filter(member -> !member.isLive()
                        && !member.isDroppedFromList()
                        && !member.vm().leaving())
                .count();
        return new FleetSnapshot(selfVm, liveVms(), responding, (int) gone, listedVms(selfVm));
    }

    /** Returns the VMs of the last list; while there is none, all known VMs that were not dropped from a list. */
    private List<Vm> listedVms(Vm selfVm) {
        if (list.isEmpty()) {
            return Stream.concat(
                            Stream.of(selfVm),
                            members.values().stream()
                                    .filter(member -> !member.isDroppedFromList())
                                    .map(Member::vm))
                    .toList();
        }
        return list.stream()
                .map(vm -> vm.id().equals(self)
                        ? selfVm
                        : member(vm.id()).map(Member::vm).orElse(withAnyIncarnation(vm)))
                .toList();
    }

    /**
     * Merges an update. Returns a description of the change, which may be an empty text, or nothing if it has no
     * effect.
     */
    Optional<String> merge(MemberUpdate update, long nowNanos) {
        String id = update.vm().id();
        Optional<Member> present = member(id);
        if (present.isEmpty()) {
            members.put(id, new Member(update, nowNanos));
            version++;
            boolean isJoined =
                    update.status() != MemberStatus.GONE && update.vm().incarnation() != 0;
            return Optional.of(isJoined ? "VM " + id + " joined." : "");
        }
        Member member = present.get();
        boolean announcesLeaving = update.vm().leaving()
                && update.vm().incarnation() == member.update().vm().incarnation();
        if (!update.supersedes(member.update())) {
            return announcesLeaving ? markLeaving(member) : Optional.empty();
        }
        return replace(member, update, nowNanos);
    }

    private Optional<String> replace(Member member, MemberUpdate update, long nowNanos) {
        boolean wasLeaving = member.update().vm().leaving();
        boolean isSameIncarnation =
                member.update().vm().incarnation() == update.vm().incarnation();
        if (isSameIncarnation && member.isDroppedFromList()) {
            return Optional.empty();
        }
        MemberUpdate before = member.update();
        member.replace(update, nowNanos);
        if (wasLeaving && isSameIncarnation) {
            member.markLeaving();
        }
        version++;
        return Optional.of(describe(update, before));
    }

    private static String describe(MemberUpdate update, MemberUpdate before) {
        String vm = "VM " + update.vm().id();
        boolean wasGone = before.status() == MemberStatus.GONE;
        if (update.status() == MemberStatus.GONE) {
            return wasGone ? "" : vm + " is gone: several VMs got no answer.";
        }
        if (before.vm().incarnation() != update.vm().incarnation()) {
            return vm + (before.vm().incarnation() == 0 ? " joined." : " has restarted.");
        }
        return wasGone ? vm + " is back." : "";
    }

    /** Marks the member as leaving. Returns a description of the change, or nothing if it was already leaving. */
    Optional<String> markLeaving(Member member) {
        if (member.update().vm().leaving()) {
            return Optional.empty();
        }
        member.markLeaving();
        version++;
        return Optional.of("VM " + member.update().vm().id() + " is leaving.");
    }

    void markAnswered(Member member, long nowNanos) {
        if (!member.isResponding()) {
            version++;
        }
        member.markAnswered(nowNanos);
    }

    void markUnanswered(Member member) {
        if (member.isResponding()) {
            version++;
        }
        member.markUnanswered();
    }

    /**
     * Applies a VM list of the platform, unless its revision is not newer than the last one. A list without this VM was
     * made before this VM started, so VMs that are missing from it are not marked as gone.
     *
     * @return descriptions of the changes
     */
    List<String> applyList(ListReceived received, long nowNanos) {
        List<String> changes = new ArrayList<>();
        if (received.revision() <= listRevision) {
            return changes;
        }
        listRevision = received.revision();
        list = received.vms();
        version++;
        list.stream().filter(vm -> !vm.id().equals(self)).forEach(vm -> applyEntry(vm, nowNanos, changes));
        Set<String> ids = list.stream().map(Vm::id).collect(Collectors.toCollection(HashSet::new));
        if (ids.contains(self)) {
            dropUnlisted(ids, nowNanos, changes);
        }
        return changes;
    }

    /** Applies one entry of the list; the incarnation of a VM that was not known is found by the first probe. */
    private void applyEntry(Vm vm, long nowNanos, List<String> changes) {
        Optional<Member> present = member(vm.id());
        if (present.isEmpty()) {
            members.put(vm.id(), new Member(alive(withAnyIncarnation(vm)), nowNanos));
            version++;
        } else if (isNewerIncarnation(vm, present.get())) {
            replace(present.get(), alive(vm), nowNanos).ifPresent(changes::add);
        }
        Member member = require(vm.id());
        long known = member.update().vm().incarnation();
        if (known == 0 || vm.incarnation() == 0 || vm.incarnation() == known) {
            applyCurrentEntry(member, vm, nowNanos);
        }
    }

    private static boolean isNewerIncarnation(Vm listed, Member member) {
        long known = member.update().vm().incarnation();
        return known != 0 && listed.incarnation() > known;
    }

    private static MemberUpdate alive(Vm vm) {
        return new MemberUpdate(vm, 0, MemberStatus.ALIVE);
    }

    private static Vm withAnyIncarnation(Vm vm) {
        return new Vm(vm.id(), 0, vm.dataCentre(), vm.host(), vm.peerPort(), vm.operatorPort(), false);
    }

    private void applyCurrentEntry(Member member, Vm vm, long nowNanos) {
        boolean wasDroppedFromList = member.isDroppedFromList();
        boolean wasLeaving = member.vm().leaving();
        member.markListed(listRevision, vm.leaving());
        if (wasDroppedFromList) {
            member.replace(member.update().withStatus(MemberStatus.ALIVE), nowNanos);
        }
        if (wasDroppedFromList || wasLeaving != member.vm().leaving()) {
            version++;
        }
    }

    private void dropUnlisted(Set<String> listedIds, long nowNanos, List<String> changes) {
        for (Map.Entry<String, Member> entry : members.entrySet()) {
            Member member = entry.getValue();
            boolean isDropped = member.listedRevision() > 0 && !listedIds.contains(entry.getKey());
            if (isDropped) {
                member.markDroppedFromList(nowNanos);
                version++;
                changes.add("VM " + entry.getKey() + " is gone: the list dropped it.");
            }
        }
    }

    /** Removes the VM that has been gone for longest, if its retention is over or too many gone VMs are kept. */
    void removeOld(long nowNanos) {
        List<Member> gone = withStatus(MemberStatus.GONE);
        gone.stream()
                .min(Comparator.comparingLong(Member::changedNanos))
                .filter(oldest ->
                        gone.size() > MAX_GONE_MEMBERS || nowNanos - oldest.changedNanos() >= GONE_RETENTION_NANOS)
                .ifPresent(oldest -> members.remove(oldest.vm().id()));
    }

    private Stream<Member> liveMembers() {
        return members.values().stream().filter(Member::isLive);
    }
}
