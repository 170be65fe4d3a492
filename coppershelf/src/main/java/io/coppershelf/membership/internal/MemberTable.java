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

/** All other VMs that this VM knows of, those counted as gone included. */
final class MemberTable {
    private static final long GONE_KEPT_NANOS = TimeUnit.HOURS.toNanos(24);
    private static final int GONE_KEPT_AT_MOST = 1024;

    private final String self;
    private final Map<String, Member> members = new TreeMap<>();
    private long listRevision;
    private List<Vm> list = List.of();
    private long version;

    MemberTable(String self) {
        this.self = self;
    }

    /** Returns the revision of the platform's list in force, 0 if there is none. */
    long listRevision() {
        return listRevision;
    }

    /** Returns the platform's list in force. */
    List<Vm> list() {
        return list;
    }

    /** Returns a number that grows with each change of what the view shows. */
    long version() {
        return version;
    }

    Optional<Member> member(String id) {
        return Optional.ofNullable(members.get(id));
    }

    Member require(String id) {
        return member(id).orElseThrow();
    }

    /** Returns the live member of the same incarnation; 0 stands for any. */
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

    /** Returns the VMs that answer this one, the given one excepted. */
    List<Vm> answeringOthers(String id) {
        return liveMembers()
                .filter(member ->
                        member.isAnswering() && !member.update().vm().id().equals(id))
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
        Set<String> answering = liveMembers()
                .filter(Member::isAnswering)
                .map(member -> member.update().vm().id())
                .collect(Collectors.toSet());
        long gone = members.values().stream()
                .filter(member -> !member.isLive()
                        && !member.isDroppedFromList()
                        && !member.vm().leaving())
                .count();
        return new FleetSnapshot(selfVm, liveVms(), answering, (int) gone, listedVms(selfVm));
    }

    /** Returns the VMs of the list; while there is none, all that are not dropped from it. */
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
                        : member(vm.id()).map(Member::vm).orElse(anyIncarnation(vm)))
                .toList();
    }

    /** Takes a statement; returns what to tell, perhaps an empty text, if it is news. */
    Optional<String> merge(MemberUpdate update, long nowNanos) {
        String id = update.vm().id();
        Optional<Member> present = member(id);
        if (present.isEmpty()) {
            members.put(id, new Member(update, nowNanos));
            version++;
            boolean isMet = update.status() != MemberStatus.GONE && update.vm().incarnation() != 0;
            return Optional.of(isMet ? "VM " + id + " joined." : "");
        }
        Member member = present.get();
        boolean isLeaver = update.vm().leaving()
                && update.vm().incarnation() == member.update().vm().incarnation();
        if (!update.replaces(member.update())) {
            return isLeaver ? markLeaving(member) : Optional.empty();
        }
        return replace(member, update, nowNanos);
    }

    private Optional<String> replace(Member member, MemberUpdate update, long nowNanos) {
        boolean wasLeaving = member.update().vm().leaving();
        boolean isSame = member.update().vm().incarnation() == update.vm().incarnation();
        if (isSame && member.isDroppedFromList()) {
            return Optional.empty();
        }
        MemberUpdate before = member.update();
        member.replace(update, nowNanos);
        if (wasLeaving && isSame) {
            member.markLeaving();
        }
        version++;
        return Optional.of(change(update, before));
    }

    private static String change(MemberUpdate update, MemberUpdate before) {
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

    /** Marks the member as leaving; returns what to tell if that is news. */
    Optional<String> markLeaving(Member member) {
        if (member.update().vm().leaving()) {
            return Optional.empty();
        }
        member.markLeaving();
        version++;
        return Optional.of("VM " + member.update().vm().id() + " is leaving.");
    }

    void markAnswered(Member member, long nowNanos) {
        if (!member.isAnswering()) {
            version++;
        }
        member.markAnswered(nowNanos);
    }

    void markUnanswered(Member member) {
        if (member.isAnswering()) {
            version++;
        }
        member.markUnanswered();
    }

    /**
     * Takes the platform's list. A revision that is not fresher changes nothing. A list without this VM itself lags
     * behind this VM's start, so no VM counts as gone by it.
     *
     * @return what to tell
     */
    List<String> applyList(ListReceived fresher, long nowNanos) {
        List<String> told = new ArrayList<>();
        if (fresher.revision() <= listRevision) {
            return told;
        }
        listRevision = fresher.revision();
        list = fresher.vms();
        version++;
        list.stream().filter(vm -> !vm.id().equals(self)).forEach(vm -> enter(vm, nowNanos, told));
        Set<String> ids = list.stream().map(Vm::id).collect(Collectors.toCollection(HashSet::new));
        if (ids.contains(self)) {
            removeUnlisted(ids, nowNanos, told);
        }
        return told;
    }

    /** Takes one entry of the list; the incarnation of a VM that is new here is found by the first probe. */
    private void enter(Vm vm, long nowNanos, List<String> told) {
        Optional<Member> present = member(vm.id());
        if (present.isEmpty()) {
            members.put(vm.id(), new Member(alive(anyIncarnation(vm)), nowNanos));
            version++;
        } else if (isLater(vm, present.get())) {
            replace(present.get(), alive(vm), nowNanos).ifPresent(told::add);
        }
        Member member = require(vm.id());
        long known = member.update().vm().incarnation();
        if (known == 0 || vm.incarnation() == 0 || vm.incarnation() == known) {
            enterCurrent(member, vm, nowNanos);
        }
    }

    private static boolean isLater(Vm listed, Member member) {
        long known = member.update().vm().incarnation();
        return known != 0 && listed.incarnation() > known;
    }

    private static MemberUpdate alive(Vm vm) {
        return new MemberUpdate(vm, 0, MemberStatus.ALIVE);
    }

    private static Vm anyIncarnation(Vm vm) {
        return new Vm(vm.id(), 0, vm.dataCentre(), vm.host(), vm.peerPort(), vm.operatorPort(), false);
    }

    private void enterCurrent(Member member, Vm vm, long nowNanos) {
        boolean wasGoneByList = member.isDroppedFromList();
        boolean wasLeaving = member.vm().leaving();
        member.markListed(listRevision, vm.leaving());
        if (wasGoneByList) {
            member.replace(member.update().withStatus(MemberStatus.ALIVE), nowNanos);
        }
        if (wasGoneByList || wasLeaving != member.vm().leaving()) {
            version++;
        }
    }

    private void removeUnlisted(Set<String> listedIds, long nowNanos, List<String> told) {
        for (Map.Entry<String, Member> entry : members.entrySet()) {
            Member member = entry.getValue();
            boolean isDropped = member.listedRevision() > 0 && !listedIds.contains(entry.getKey());
            if (isDropped) {
                member.markDroppedFromList(nowNanos);
                version++;
                told.add("VM " + entry.getKey() + " is gone: the list dropped it.");
            }
        }
    }

    /** Forgets VMs that have been gone for long, and the first one of too many. */
    void removeOld(long nowNanos) {
        List<Member> gone = withStatus(MemberStatus.GONE);
        gone.stream()
                .min(Comparator.comparingLong(Member::changedNanos))
                .filter(first -> gone.size() > GONE_KEPT_AT_MOST || nowNanos - first.changedNanos() >= GONE_KEPT_NANOS)
                .ifPresent(first -> members.remove(first.vm().id()));
    }

    private Stream<Member> liveMembers() {
        return members.values().stream().filter(Member::isLive);
    }
}
