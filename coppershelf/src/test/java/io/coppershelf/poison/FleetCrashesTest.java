package io.coppershelf.poison;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;

/**
 * Scenario: a fleet in virtual time with ten servers. A request that crashes servers comes again and again at random
 * VMs, beside requests of callers that poll, each with the same request every other second. A server that crashes loses
 * all its requests and is back after five seconds as a new incarnation; each lost request is retried once. Reports to
 * other VMs take 10 ms, and 3% are lost.
 */
final class FleetCrashesTest {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final long END = 180 * SECOND;
    private static final long WORK = 650 * MILLI;
    private static final long DOWN = 5 * SECOND;
    private static final int SERVERS = 10;
    private static final int CALLERS = 60;
    private static final RequestIdentity POISON = request("10.9.9.9", "/poison");

    private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingLong(Event::at));
    private final List<CrashRecords> vms = new ArrayList<>();
    private final List<Server> servers = new ArrayList<>();
    private final List<Long> poisonSends = new ArrayList<>();
    private final List<Long> poisonCrashes = new ArrayList<>();
    private int refusedInnocents;
    private int innocents;
    private int servedInnocents;
    private Random random = new Random();
    private Supplier<RequestIdentity> poison = () -> POISON;

    /** Guards against a request that is sent on by VMs other than those at which servers crashed. */
    @Test
    void requestThatCrashesServersReachesAtMostThreeMoreAfterThreeSeconds() {
        for (int seed = 0; seed < 20; seed++) {
            play(seed, 36, 250 * MILLI);
            assertThat(sendsAfter(poisonCrashes.get(2) + 3 * SECOND)).isAtMost(3);
            assertThat(poisonCrashes.size()).isAtMost(6);
        }
    }

    /** Guards against a request that comes through another address, and with another query, each time. */
    @Test
    void requestWhoseCallerCannotBeToldReachesAtMostThreeMoreAfterThreeSeconds() {
        for (int seed = 0; seed < 20; seed++) {
            poison = () -> request("10.9.0." + random.nextInt(250), "/poison?x=" + random.nextInt(9));
            play(seed, 36, 250 * MILLI);
            assertThat(sendsAfter(poisonCrashes.get(2) + 3 * SECOND)).isAtMost(3);
            assertThat((double) servedInnocents / innocents).isAtLeast(0.97);
        }
    }

    @Test
    void largeFleetKeepsTheSameBound() {
        for (int seed = 0; seed < 5; seed++) {
            play(seed, 142, 100 * MILLI);
            assertThat(sendsAfter(poisonCrashes.get(2) + 3 * SECOND)).isAtMost(3);
        }
    }

    /**
     * Guards against a fleet that starts anew after a loss of power, and lets the request crash server after server.
     */
    @Test
    void fleetThatHasForgottenAllLetsTheRequestReachFewServers() {
        for (int seed = 0; seed < 20; seed++) {
            events.add(new Event(30 * SECOND, () -> vms.replaceAll(vm -> new CrashRecords())));
            play(seed, 36, 250 * MILLI);
            assertThat(poisonCrashes.size()).isAtMost(12);
        }
    }

    /** Guards against innocent requests being refused that were in flight on servers that crashed. */
    @Test
    void requestsInFlightOnCrashedServersAreHardlyEverQuarantined() {
        int refused = 0;
        int sent = 0;
        for (int seed = 0; seed < 20; seed++) {
            play(seed, 36, 250 * MILLI);
            refused += refusedInnocents;
            sent += innocents;
        }
        assertThat((double) refused / sent).isAtMost(0.001);
    }

    /** Guards against innocent requests being refused while servers crash for other reasons. */
    @Test
    void crashesForOtherReasonsHardlyEverQuarantineARequest() {
        int refused = 0;
        int served = 0;
        int sent = 0;
        for (int seed = 0; seed < 20; seed++) {
            for (long at = SECOND; at < END; at += 2 * SECOND) {
                long now = at;
                events.add(new Event(now, () -> crash(servers.get(random.nextInt(SERVERS)), now)));
            }
            play(seed, 36, Long.MAX_VALUE / 2);
            refused += refusedInnocents;
            served += servedInnocents;
            sent += innocents;
        }
        assertThat((double) refused / sent).isAtMost(0.001);
        assertThat((double) served / sent).isAtLeast(0.99);
    }

    private void play(int seed, int fleetSize, long poisonInterval) {
        random = new Random(seed);
        vms.clear();
        servers.clear();
        poisonSends.clear();
        poisonCrashes.clear();
        refusedInnocents = 0;
        innocents = 0;
        servedInnocents = 0;
        for (int i = 0; i < fleetSize; i++) {
            vms.add(new CrashRecords());
        }
        for (int i = 0; i < SERVERS; i++) {
            servers.add(new Server());
        }
        for (int caller = 0; caller < CALLERS; caller++) {
            RequestIdentity request = request("10.0.0." + caller, "/poll/" + caller % 20);
            long first = (long) (random.nextDouble() * 2 * SECOND);
            for (long at = first; at < END - 2 * SECOND; at += 2 * SECOND) {
                long now = at;
                events.add(new Event(now, () -> receive(request, now)));
            }
        }
        for (long at = 5 * SECOND; at < END; at += poisonInterval) {
            long now = at;
            events.add(new Event(now, () -> receive(poison.get(), now)));
        }
        while (!events.isEmpty()) {
            events.poll().action.run();
        }
    }

    private void receive(RequestIdentity request, long now) {
        innocents += isPoison(request) ? 0 : 1;
        send(random.nextInt(vms.size()), request, 1, now);
    }

    private void send(int vm, RequestIdentity request, int attempt, long now) {
        if (vms.get(vm).quarantine(request, now).isPresent()) {
            if (!isPoison(request)) {
                refusedInnocents++;
            }
            return;
        }
        List<Server> up = servers.stream().filter(server -> server.upAt <= now).toList();
        if (up.isEmpty()) {
            return;
        }
        Server server = up.stream()
                .min(Comparator.comparingInt(candidate -> 10 * candidate.inFlight.size() + random.nextInt(10)))
                .orElseThrow();
        Attempt sent = new Attempt(vm, request, attempt);
        server.inFlight.add(sent);
        if (isPoison(request)) {
            poisonSends.add(now);
            events.add(new Event(now + 50 * MILLI, () -> {
                if (server.inFlight.contains(sent)) {
                    poisonCrashes.add(now + 50 * MILLI);
                    crash(server, now + 50 * MILLI);
                }
            }));
        } else {
            events.add(new Event(now + WORK, () -> {
                if (server.inFlight.remove(sent)) {
                    servedInnocents++;
                    clear(vm, request);
                }
            }));
        }
    }

    private void crash(Server server, long now) {
        List<Attempt> lost = List.copyOf(server.inFlight);
        server.inFlight.clear();
        long code = server.incarnation;
        server.incarnation = random.nextLong();
        server.upAt = now + DOWN;
        for (Attempt attempt : lost) {
            List<CrashRecord> record = vms.get(attempt.vm).recordCrash(attempt.request, code, now);
            for (int other = 0; other < vms.size(); other++) {
                int receiver = other;
                if (random.nextInt(100) >= 3) {
                    long at = now + 10 * MILLI;
                    events.add(new Event(at, () -> vms.get(receiver).add(record, at)));
                }
            }
            if (attempt.number == 1) {
                events.add(new Event(now + MILLI, () -> send(attempt.vm, attempt.request, 2, now + MILLI)));
            }
        }
    }

    private void clear(int vm, RequestIdentity request) {
        if (vms.get(vm).isOnRecord(request) && vms.get(vm).clear(request.fingerprints())) {
            vms.forEach(other -> other.clear(request.fingerprints()));
        }
    }

    private static boolean isPoison(RequestIdentity request) {
        return request == POISON
                || request.fingerprints().get(2).equals(POISON.fingerprints().get(2));
    }

    private static RequestIdentity request(String caller, String uri) {
        return new RequestIdentity(caller, "GET", "host", uri, new byte[0]);
    }

    private int sendsAfter(long from) {
        return (int) poisonSends.stream().filter(at -> at > from).count();
    }

    private record Attempt(int vm, RequestIdentity request, int number) {
        /** Each attempt is another one, although its values may be those of an earlier one. */
        @Override
        public boolean equals(Object other) {
            return this == other;
        }

        @Override
        public int hashCode() {
            return System.identityHashCode(this);
        }
    }

    private record Event(long at, Runnable action) {}

    private final class Server {
        private final List<Attempt> inFlight = new ArrayList<>();
        private long incarnation = random.nextLong();
        private long upAt;
    }
}
