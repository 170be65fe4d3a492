package io.coppershelf.ticket.internal.spread;

import io.coppershelf.membership.FleetView;
import io.coppershelf.membership.Vm;
import io.coppershelf.membership.internal.FleetSnapshot;
import io.coppershelf.ticket.ObjectVersion;
import io.coppershelf.ticket.Ticket;
import io.coppershelf.ticket.TicketDocument;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BiPredicate;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * Simulates the spread of tickets among many VMs in virtual time, with links that lose or block messages and a platform
 * that can fail.
 */
final class FakeSpreadFleet {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final int TICKETS_PER_ANSWER = 2;
    private static final long TIMEOUT_MILLIS = 1_000;

    final Map<String, Node> nodes = new TreeMap<>();
    final List<Ticket> published = new ArrayList<>();
    final Set<Long> alarms = new TreeSet<>();
    private final PriorityQueue<ScheduledTask> queue = new PriorityQueue<>();
    private final Random random;
    private long nowNanos;
    private long sequence;
    BiPredicate<String, String> passes = (from, to) -> true;
    Predicate<String> reachesPlatform = id -> true;
    /** The number of published tickets that the platform returns. */
    int visibleCount = Integer.MAX_VALUE;

    double lossRate;
    long platformReads;
    long pulls;

    FakeSpreadFleet(int size, long seed) {
        random = new Random(seed);
        for (int i = 0; i < size; i++) {
            start("vm-" + i);
        }
    }

    void start(String id) {
        int number = Integer.parseInt(id.substring(3));
        nodes.put(id, new Node(new Vm(id, nowNanos, "dc-" + number % 4, "h", 1, 1, false)));
        List<Vm> vms = nodes.values().stream().map(node -> node.vm).toList();
        nodes.values().forEach(node -> node.setView(vms));
        after(random.nextInt(100), () -> nodes.get(id).tick());
    }

    void stop(String id) {
        nodes.remove(id).isUp = false;
        List<Vm> vms = nodes.values().stream().map(node -> node.vm).toList();
        nodes.values().forEach(node -> node.setView(vms));
    }

    boolean runUntil(Predicate<TicketSpread> condition, long limitMillis) {
        long endNanos = nowNanos + limitMillis * NANOS_PER_MILLI;
        while (!nodes.values().stream().allMatch(node -> condition.test(node.spread))) {
            if (nowNanos >= endNanos) {
                return false;
            }
            run(10);
        }
        return true;
    }

    void run(long millis) {
        long endNanos = nowNanos + millis * NANOS_PER_MILLI;
        while (!queue.isEmpty() && queue.peek().atNanos <= endNanos) {
            ScheduledTask next = queue.poll();
            nowNanos = Math.max(nowNanos, next.atNanos);
            next.task.run();
        }
        nowNanos = endNanos;
    }

    private void after(long millis, Runnable task) {
        queue.add(new ScheduledTask(nowNanos + millis * NANOS_PER_MILLI, sequence++, task));
    }

    private List<Ticket> visible() {
        return List.copyOf(published.subList(0, Math.min(visibleCount, published.size())));
    }

    private record ScheduledTask(long atNanos, long sequence, Runnable task) implements Comparable<ScheduledTask> {
        @Override
        public int compareTo(ScheduledTask other) {
            int byTime = Long.compare(atNanos, other.atNanos);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    /** One VM; executes actions in place of the driver. */
    final class Node {
        private final Vm vm;
        final TicketSpread spread;
        private FleetView view;
        private boolean isUp = true;

        Node(Vm vm) {
            this.vm = vm;
            view = new FleetSnapshot(vm, List.of(), Set.of());
            spread = new TicketSpread(view, 3_000 * NANOS_PER_MILLI, random.nextLong(), nowNanos);
        }

        FleetView view() {
            return view;
        }

        void setView(List<Vm> vms) {
            view = new FleetSnapshot(vm, vms, Set.of());
            handle(new SpreadEvent.FleetChanged(view));
        }

        void handle(SpreadEvent event) {
            if (isUp) {
                long before = spread.configuration().ticketNumber();
                spread.handle(event, nowNanos).forEach(this::perform);
                if (spread.configuration().ticketNumber() < before) {
                    throw new AssertionError(vm.id() + " reverted to a lower ticket");
                }
            }
        }

        private void tick() {
            if (isUp) {
                handle(new SpreadEvent.Tick());
                after(TicketSpread.TICK_MILLIS, this::tick);
            }
        }

        private void perform(SpreadAction action) {
            if (action instanceof SpreadAction.ReadPlatform read) {
                platformReads++;
                answerRead(read, nowNanos + read.watchTime().toNanos());
            } else if (action instanceof SpreadAction.Announce announce) {
                request(
                        announce.target(),
                        peer -> {
                            boolean wasKnown = peer.spread.hasSeen(announce.key());
                            peer.handle(new SpreadEvent.AnnouncementReceived(vm.id(), announce.key()));
                            return new SpreadEvent.AnnouncementAcknowledged(
                                    announce.target().id(), announce.key(), wasKnown);
                        },
                        new SpreadEvent.AnnouncementFailed(announce.target().id(), announce.key()));
            } else if (action instanceof SpreadAction.Pull pull) {
                pulls++;
                SpreadEvent failed = new SpreadEvent.PullFailed(pull.key());
                request(
                        pull.target(),
                        peer -> peer.spread
                                .document(pull.key())
                                .map(FakeSpreadFleet::parse)
                                .<SpreadEvent>map(ticket -> new SpreadEvent.Pulled(peer.vm.id(), ticket))
                                .orElse(failed),
                        failed);
            } else if (action instanceof SpreadAction.RequestRepair request) {
                SpreadEvent.Summary summary = spread.summary(nowNanos);
                request(
                        request.target(),
                        peer -> {
                            SpreadEvent.RepairReplied reply = new SpreadEvent.RepairReplied(
                                    peer.vm.id(),
                                    peer.spread.summary(nowNanos),
                                    BucketTree.groupDigests(peer.spread.bucketDigests()));
                            peer.handle(new SpreadEvent.RepairRequested(vm.id(), summary));
                            return reply;
                        },
                        new SpreadEvent.RepairFailed(request.target().id()));
            } else if (action instanceof SpreadAction.RequestBuckets request) {
                request(
                        request.target(),
                        peer -> peer.buckets(request.groups()),
                        new SpreadEvent.RepairFailed(request.target().id()));
            } else if (action instanceof SpreadAction.RequestVersions request) {
                request(
                        request.target(),
                        peer -> peer.versions(request.buckets()),
                        new SpreadEvent.RepairFailed(request.target().id()));
            } else if (action instanceof SpreadAction.AlarmConflict conflict) {
                alarms.add(conflict.number());
            }
        }

        private SpreadEvent buckets(List<Integer> groups) {
            Map<Integer, Long> digests = new TreeMap<>();
            groups.forEach(group ->
                    BucketTree.bucketsOf(group).forEach(bucket -> digests.put(bucket, spread.bucketDigests()[bucket])));
            return new SpreadEvent.BucketsReceived(vm.id(), digests);
        }

        private SpreadEvent versions(List<Integer> buckets) {
            List<ObjectVersion> versions = new ArrayList<>();
            TicketExtracts.of(buckets, spread::versions)
                    .forEach(extract -> versions.addAll(TicketExtracts.versions(extract)));
            return new SpreadEvent.VersionsReceived(vm.id(), versions);
        }

        private void answerRead(SpreadAction.ReadPlatform read, long untilNanos) {
            if (!reachesPlatform.test(vm.id())) {
                after(TIMEOUT_MILLIS, () -> handle(new SpreadEvent.PlatformReadFailed()));
                return;
            }
            List<Ticket> visible = visible();
            if (visible.size() <= read.position() && nowNanos < untilNanos) {
                after(10, () -> answerRead(read, untilNanos));
                return;
            }
            int from = (int) Math.min(read.position(), visible.size());
            int to = Math.min(from + TICKETS_PER_ANSWER, visible.size());
            List<Ticket> newTickets = visible.subList(from, to);
            after(1, () -> handle(new SpreadEvent.PlatformRead(read.position(), to, newTickets)));
        }

        private void request(Vm target, Function<Node, SpreadEvent> handler, SpreadEvent failure) {
            boolean[] isCompleted = new boolean[1];
            deliver(vm.id(), target.id(), () -> {
                Optional<Node> peer = Optional.ofNullable(nodes.get(target.id()));
                peer.filter(node -> node.isUp)
                        .map(handler)
                        .ifPresent(reply -> deliver(target.id(), vm.id(), () -> complete(isCompleted, reply)));
            });
            after(TIMEOUT_MILLIS, () -> complete(isCompleted, failure));
        }

        private void complete(boolean[] isCompleted, SpreadEvent event) {
            if (!isCompleted[0]) {
                isCompleted[0] = true;
                handle(event);
            }
        }
    }

    private void deliver(String from, String to, Runnable task) {
        if (passes.test(from, to) && random.nextDouble() >= lossRate) {
            after(1 + random.nextInt(3), task);
        }
    }

    static Ticket parse(byte[] document) {
        return TicketDocument.parse(new String(document, StandardCharsets.UTF_8));
    }
}
