package io.coppershelf.mesh;

import io.coppershelf.catalog.UsageCap;
import io.coppershelf.quota.QuotaAction;
import io.coppershelf.quota.QuotaNode;
import io.coppershelf.quota.TenantCaps;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.BiPredicate;

/** A fleet in virtual time whose VMs share usage caps over a network that delays and loses messages. */
final class SimulatedQuotaFleet {
    static final long MILLI = 1_000_000;
    static final long SECOND = 1000 * MILLI;
    private static final int SEEDS = 3;
    private static final int DATAGRAM_HEADER_BYTES = 28;
    private static final double LOSS = 0.005;

    final Random random;
    final List<Vm> vms = new ArrayList<>();
    private final Map<InetSocketAddress, Vm> byAddress = new HashMap<>();
    final Map<String, UsageCap> caps = new HashMap<>();
    final QuotaTally tally = new QuotaTally();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::number));
    private final Map<Long, QuotaTally.Request> requests = new HashMap<>();
    private BiPredicate<Vm, Vm> isCut = (from, to) -> false;
    private long version = 1;
    private long eventNumber;
    private long now;

    SimulatedQuotaFleet(int size, long seed) {
        random = new Random(seed);
        for (int i = 0; i < size; i++) {
            vms.add(new Vm(i));
        }
        vms.forEach(Vm::start);
    }

    long now() {
        return now;
    }

    /** Adds a VM that starts now. */
    void join() {
        Vm vm = new Vm(vms.size());
        vms.add(vm);
        vm.start();
    }

    /** Drops the messages for which the predicate holds, by sender and receiver. */
    void cut(BiPredicate<Vm, Vm> predicate) {
        isCut = predicate;
    }

    void changeCap(String tenant, UsageCap cap) {
        caps.put(tenant, cap);
        version++;
    }

    void at(double seconds, Runnable action) {
        after((long) (seconds * SECOND) - now, action);
    }

    void after(long delayNanos, Runnable action) {
        events.add(new Event(now + delayNanos, eventNumber++, action));
    }

    void runUntil(double seconds) {
        long end = (long) (seconds * SECOND);
        while (!events.isEmpty() && events.peek().atNanos() <= end) {
            Event event = events.remove();
            now = event.atNanos();
            event.action().run();
        }
        now = end;
    }

    private record Event(long atNanos, long number, Runnable action) {}

    /** One VM. */
    final class Vm implements TenantCaps {
        final int index;
        final InetSocketAddress address;
        boolean isLive;
        /** The time from which the load balancer sends callers; it probes once a second. */
        long servesFromNanos;

        boolean isEarlierBuild;
        boolean isPaused;
        long sentBytes;
        long receivedBytes;
        private final List<Runnable> deferred = new ArrayList<>();
        private int incarnation;
        private long viewedNanos;
        private boolean isTickScheduled;
        private Membership membership;
        private QuotaNode node;

        Vm(int index) {
            this.index = index;
            address = new InetSocketAddress("10.0." + index / 200 + "." + (1 + index % 200), 7000);
        }

        void start() {
            isLive = true;
            servesFromNanos = now == 0 ? 0 : now + (long) (random.nextDouble() * SECOND);
            byAddress.put(address, this);
            int started = ++incarnation;
            List<InetSocketAddress> seeds =
                    vms.stream().limit(SEEDS).map(vm -> vm.address).toList();
            membership = new Membership(address, "here", incarnation, seeds, new Random(random.nextLong()), now);
            node = new QuotaNode(this, membership.quotaView(now), new Random(random.nextLong()), now);
            viewedNanos = now;
            isTickScheduled = false;
            after(50 * MILLI, () -> run(started, this::gossip));
            every(started, 400 * MILLI, this::gossip);
            every(started, 50 * MILLI, () -> execute(node.tick(clock())));
        }

        void stop() {
            isLive = false;
            node = null;
        }

        void pause(double seconds) {
            isPaused = true;
            after((long) (seconds * SECOND), () -> {
                isPaused = false;
                deferred.forEach(Runnable::run);
                deferred.clear();
            });
        }

        @Override
        public long version() {
            return version;
        }

        @Override
        public Optional<UsageCap> cap(String tenant) {
            return Optional.ofNullable(caps.get(tenant));
        }

        /** Receives a request of a caller. */
        void call(QuotaTally.Request request) {
            run(incarnation, () -> {
                long number = eventNumber++;
                requests.put(number, request);
                execute(node.acquire(request.tenant(), number, clock()));
            });
        }

        private void every(int started, long interval, Runnable action) {
            after(random.nextInt((int) interval), new Runnable() {
                @Override
                public void run() {
                    if (isLive && incarnation == started) {
                        after(interval, this);
                        if (!isPaused) {
                            action.run();
                        }
                    }
                }
            });
        }

        /** Runs an action in this process, after the end of a pause. */
        private void run(int started, Runnable action) {
            if (!isLive || incarnation != started) {
                return;
            }
            if (isPaused) {
                deferred.add(() -> run(started, action));
            } else {
                action.run();
            }
        }

        private long clock() {
            if (now - viewedNanos >= 200 * MILLI) {
                viewedNanos = now;
                node.use(membership.quotaView(now), now);
            }
            return now;
        }

        private void gossip() {
            membership.nextGossipTarget(now).ifPresent(target -> sendMembers(target, false, true));
        }

        private void sendMembers(InetSocketAddress target, boolean isComplete, boolean isReplyRequested) {
            send(target, new MeshMessage.Members(membership.nextEntries(isComplete, now), isReplyRequested));
        }

        private void send(InetSocketAddress target, MeshMessage message) {
            Vm receiver = byAddress.get(target);
            int bytes = message instanceof MeshMessage.Tokens
                    ? MeshCodec.encode(message).length + DATAGRAM_HEADER_BYTES
                    : 0;
            sentBytes += bytes;
            if (random.nextDouble() < LOSS || isCut.test(this, receiver)) {
                return;
            }
            int started = receiver.incarnation;
            long delay = 200_000L + random.nextInt(2_800_000);
            after(delay, () -> receiver.run(started, () -> receiver.receive(address, message, bytes)));
        }

        private void receive(InetSocketAddress sender, MeshMessage message, int bytes) {
            receivedBytes += bytes;
            membership.recordContact(sender, now);
            if (message instanceof MeshMessage.Members members) {
                boolean hasNew = membership.merge(members.members(), now);
                if (hasNew || members.isReplyRequested()) {
                    sendMembers(sender, hasNew, false);
                }
                if (!members.isReplyRequested()) {
                    node.recordContact(sender);
                }
            } else if (message instanceof MeshMessage.Tokens tokens && !isEarlierBuild) {
                execute(node.receive(sender, tokens.message(), clock()));
            }
        }

        private void execute(List<QuotaAction> actions) {
            for (QuotaAction action : actions) {
                if (action instanceof QuotaAction.Send send) {
                    send(send.receiver(), new MeshMessage.Tokens(send.message()));
                } else if (action instanceof QuotaAction.RequestContact request) {
                    sendMembers(request.receiver(), false, true);
                } else if (action instanceof QuotaAction.Admit admit) {
                    admit(admit);
                } else if (action instanceof QuotaAction.Refuse refuse) {
                    tally.refused(requests.remove(refuse.requestNumber()), refuse.refusal(), now);
                }
            }
            if (node.isPending() && !isTickScheduled) {
                isTickScheduled = true;
                int started = incarnation;
                after(
                        10 * MILLI,
                        () -> run(started, () -> {
                            isTickScheduled = false;
                            execute(node.tick(clock()));
                        }));
            }
        }

        /** Sends an admitted request; the system refuses one in fifty without running it. */
        private void admit(QuotaAction.Admit admit) {
            QuotaTally.Request request = requests.remove(admit.requestNumber());
            if (random.nextInt(50) == 0) {
                int started = incarnation;
                after(random.nextInt((int) SECOND), () -> run(started, () -> node.giveBack(admit.token(), now)));
            } else {
                tally.sent(request, now);
            }
        }
    }
}
