package io.coppershelf.membership.internal;

import io.coppershelf.membership.Vm;
import io.coppershelf.membership.internal.MembershipEvent.IndirectProbeEnded;
import io.coppershelf.membership.internal.MembershipEvent.Introduced;
import io.coppershelf.membership.internal.MembershipEvent.ProbeAnswered;
import io.coppershelf.membership.internal.MembershipEvent.ProbeFailed;
import io.coppershelf.membership.internal.MembershipEvent.Tick;
import io.coppershelf.membership.internal.MembershipEvent.UpdatesReceived;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiPredicate;
import java.util.function.Consumer;

/**
 * Simulates the membership decisions of many VMs in virtual time, over a network that can delay, lose and cut messages.
 */
final class FakeFleet {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final Map<String, Node> nodes = new TreeMap<>();
    private final PriorityQueue<Event> queue = new PriorityQueue<>();
    private final Random random;
    private long nowNanos;
    private long sequence;
    long messages;
    BiPredicate<String, String> delivers = (from, to) -> true;
    double lossProbability;

    FakeFleet(int size, long seed) {
        random = new Random(seed);
        for (int i = 0; i < size; i++) {
            start(name(i), 1);
        }
    }

    static String name(int index) {
        return String.format("vm-%02d", index);
    }

    void start(String id, long incarnation) {
        Node node = new Node(new Vm(id, incarnation, "dc-" + id.charAt(id.length() - 1) % 4, "h", 1, 1, false));
        nodes.put(id, node);
        schedule(random.nextInt(100), () -> node.tick());
    }

    void kill(String id) {
        nodes.get(id).isUp = false;
    }

    void pause(String id, long millis) {
        nodes.get(id).pausedUntilNanos = nowNanos + millis * NANOS_PER_MILLI;
    }

    void leave(String id) {
        nodes.get(id).on(new MembershipEvent.LeaveStarted());
    }

    void applyList(long revision, List<Vm> vms, List<String> receivers) {
        receivers.forEach(id -> nodes.get(id).on(new MembershipEvent.ListReceived(revision, vms)));
    }

    Vm vm(String id) {
        return nodes.get(id).decisions.self().vm();
    }

    Set<String> liveVmsSeenBy(String id) {
        Set<String> ids = new HashSet<>();
        view(id).vms().forEach(vm -> ids.add(vm.id()));
        return ids;
    }

    FleetSnapshot view(String id) {
        return nodes.get(id).decisions.view();
    }

    void run(long millis) {
        long end = nowNanos + millis * NANOS_PER_MILLI;
        while (!queue.isEmpty() && queue.peek().atNanos <= end) {
            Event event = queue.poll();
            nowNanos = Math.max(nowNanos, event.atNanos);
            event.task.run();
        }
        nowNanos = end;
    }

    private void schedule(long millis, Runnable task) {
        queue.add(new Event(nowNanos + millis * NANOS_PER_MILLI, sequence++, task));
    }

    /** Delivers a message to a node that is up; a message that arrives during a pause is handled at its end. */
    private void deliver(String from, String to, Consumer<Node> task) {
        messages++;
        if (!delivers.test(from, to) || random.nextDouble() < lossProbability) {
            return;
        }
        schedule(1 + random.nextInt(5), () -> whenRunning(nodes.get(to), task));
    }

    private void whenRunning(Node node, Consumer<Node> task) {
        if (node.pausedUntilNanos > nowNanos) {
            schedule((node.pausedUntilNanos - nowNanos) / NANOS_PER_MILLI + 1, () -> whenRunning(node, task));
        } else if (node.isUp) {
            task.accept(node);
        }
    }

    private record Event(long atNanos, long sequence, Runnable task) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(atNanos, other.atNanos);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    /** One VM with its membership decisions; carries out their actions in place of the driver. */
    private final class Node {
        private final MembershipDecisions decisions;
        private final String id;
        private boolean isUp = true;
        private long pausedUntilNanos;

        Node(Vm vm) {
            id = vm.id();
            decisions = new MembershipDecisions(vm, random.nextLong(), nowNanos);
        }

        void tick() {
            whenRunning(this, node -> node.on(new Tick()));
            if (isUp) {
                schedule(Math.max(100, (pausedUntilNanos - nowNanos) / NANOS_PER_MILLI + 100), this::tick);
            }
        }

        void on(MembershipEvent event) {
            decisions.handle(event, nowNanos).forEach(this::perform);
        }

        private void perform(MembershipAction action) {
            if (action instanceof MembershipAction.Probe probe) {
                long startedNanos = nowNanos;
                probe(probe.target(), reached -> {
                    if (!reached) {
                        on(new ProbeFailed(probe.target(), startedNanos));
                    }
                });
            } else if (action instanceof MembershipAction.IndirectProbe indirect) {
                long startedNanos = nowNanos;
                deliver(
                        id,
                        indirect.witness().id(),
                        witness -> witness.probe(
                                indirect.target(),
                                reached -> deliver(
                                        witness.id,
                                        id,
                                        requester -> requester.on(new IndirectProbeEnded(
                                                indirect.target(), witness.id, reached, startedNanos)))));
            } else if (action instanceof MembershipAction.Pull pull) {
                pull(pull.target().id());
            } else if (action instanceof MembershipAction.PullList pull) {
                deliver(id, pull.target().id(), peer -> {
                    MembershipEvent list =
                            new MembershipEvent.ListReceived(peer.decisions.listRevision(), peer.decisions.list());
                    deliver(peer.id, id, requester -> requester.on(list));
                });
            } else if (action instanceof MembershipAction.Join) {
                pull(name(0));
            } else if (action instanceof MembershipAction.SendLeave leave) {
                long incarnation = decisions.self().vm().incarnation();
                deliver(id, leave.target().id(), peer -> peer.on(new MembershipEvent.LeaveReceived(id, incarnation)));
            }
        }

        private void pull(String target) {
            MemberUpdate self = decisions.self();
            deliver(id, target, peer -> {
                peer.on(new Introduced(self));
                peer.reply(id, peer.decisions.allUpdates(), () -> {});
            });
        }

        private void probe(Vm target, Consumer<Boolean> listener) {
            boolean[] isEnded = new boolean[1];
            MemberUpdate self = decisions.self();
            List<MemberUpdate> updates = decisions.gossipFor(target.id());
            deliver(id, target.id(), peer -> {
                boolean isOtherIncarnation = target.incarnation() != 0
                        && target.incarnation() != peer.decisions.self().vm().incarnation();
                if (isOtherIncarnation) {
                    return;
                }
                if (peer.decisions.isLive(self.vm())) {
                    peer.on(new UpdatesReceived(id, updates));
                }
                peer.on(new Introduced(self));
                peer.reply(id, peer.decisions.gossipFor(id), () -> end(isEnded, true, listener));
            });
            schedule(
                    MembershipDecisions.PROBE_TIMEOUT_MILLIS,
                    () -> whenRunning(this, node -> end(isEnded, false, listener)));
        }

        private void reply(String to, List<MemberUpdate> updates, Runnable listener) {
            ProbeAnswered reply = new ProbeAnswered(
                    decisions.self(), new ArrayList<>(updates), decisions.digest(), decisions.listRevision());
            deliver(id, to, requester -> {
                requester.on(reply);
                listener.run();
            });
        }

        private void end(boolean[] isEnded, boolean isReached, Consumer<Boolean> listener) {
            if (!isEnded[0]) {
                isEnded[0] = true;
                listener.accept(isReached);
            }
        }
    }
}
