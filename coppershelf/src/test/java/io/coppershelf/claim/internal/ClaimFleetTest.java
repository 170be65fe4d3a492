package io.coppershelf.claim.internal;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.coppershelf.claim.Claims.ClaimResult;
import io.coppershelf.claim.internal.ClaimMessage.ClaimCompletion;
import io.coppershelf.claim.internal.ClaimMessage.ClaimPage;
import io.coppershelf.claim.internal.ClaimMessage.ClaimRequest;
import io.coppershelf.floor.internal.FakeFleetView;
import io.coppershelf.membership.Vm;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests that at most one of several requests with the same key runs, while messages are lost, delayed and duplicated.
 */
class ClaimFleetTest {
    private static final int VMS = 9;
    private static final int SEEDS = 60;
    private static final Duration SETTLED = ClaimLimits.SETTLING_TIME.plusSeconds(1);
    private static final RequestDigest DIGEST = new RequestDigest(1, 2);
    private static final String KEY = "millrelease/coil-7";

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
    private final Map<String, HolderState> holders = new HashMap<>();
    private final Map<String, Long> incarnations = new HashMap<>();
    private final List<String> ids =
            IntStream.range(0, VMS).mapToObj(i -> "vm" + i).toList();
    private Random random = new Random(0);
    private double lossProbability;
    private long now;
    private long order;
    private int runs;
    private int claims;

    @Test
    void newHolderRepliesNoHistoryBeforeItsPull() {
        reset(1, 0);
        ids.forEach(id -> assertThat(claimAt(id)).isEqualTo(HolderDecision.Kind.NO_HISTORY));
        run(SETTLED);
        ids.forEach(id -> assertThat(claimAt(id)).isEqualTo(HolderDecision.Kind.ACCEPTED));
    }

    @ParameterizedTest(name = "loss {0}, {1} holders restart at once, {2} apart")
    @CsvSource({"0,0,0", "0.1,0,0", "0.3,0,0", "0,1,0", "0.1,2,0", "0,3,0", "0.1,3,0", "0.1,3,9000"})
    void runsAtMostOnce(double lossRate, int restarts, int apartMillis) {
        int seedsWithClaim = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            reset(seed, 0);
            run(SETTLED);
            lossProbability = lossRate;
            for (int i = 0; i < 6; i++) {
                String requestId = "attempt" + i;
                int delay = i < 3 ? random.nextInt(600) : 1_200 + random.nextInt(9_000);
                schedule(Duration.ofMillis(delay), () -> claimKey(requestId));
            }
            List<String> lost = ClaimCoverage.holders(view("vm0"), KEY).subList(0, restarts);
            for (int i = 0; i < restarts; i++) {
                String holder = lost.get(i);
                schedule(Duration.ofMillis(random.nextInt(1_000) + (long) i * apartMillis), () -> restart(holder));
            }
            run(Duration.ofSeconds(60));
            assertWithMessage("runs, seed %s", seed).that(runs).isAtMost(1);
            seedsWithClaim += Math.min(claims, 1);
        }
        assertWithMessage("seeds in which a request claimed the key")
                .that(seedsWithClaim)
                .isAtLeast(SEEDS / 10);
    }

    private HolderDecision.Kind claimAt(String id) {
        return holders.get(id)
                .claim(new ClaimRequest("other", DIGEST, "a", 1_000), now)
                .kind();
    }

    private void reset(int seed, double lossRate) {
        random = new Random(seed);
        lossProbability = lossRate;
        now = 0;
        runs = 0;
        claims = 0;
        events.clear();
        ids.forEach(id -> incarnations.put(id, 1L));
        ids.forEach(this::start);
    }

    private void start(String id) {
        HolderState holder = new HolderState(view(id), now);
        holders.put(id, holder);
        schedule(ClaimLimits.SETTLING_TIME, () -> pullMissing(id, holder));
    }

    private void restart(String id) {
        incarnations.merge(id, 1L, Long::sum);
        start(id);
        ids.stream()
                .filter(other -> !other.equals(id))
                .forEach(other -> holders.get(other).onFleet(view(other), now));
    }

    private FakeFleetView view(String id) {
        List<Vm> vms = ids.stream()
                .map(name -> FakeFleetView.vm(name, incarnations.get(name)))
                .toList();
        return new FakeFleetView(vms.get(ids.indexOf(id)), vms, Set.of());
    }

    private void pullMissing(String id, HolderState holder) {
        if (holders.get(id) != holder) {
            return;
        }
        for (String peer : holder.peersToPull(now)) {
            send(() -> {
                ClaimPage page = holders.get(peer).page("", key -> true, now);
                send(() -> {
                    holder.merge(page.claims(), now);
                    holder.onPullComplete(peer, page.historyKnown(), page.lost());
                });
            });
        }
        schedule(Duration.ofMillis(500), () -> pullMissing(id, holder));
    }

    private void claimKey(String requestId) {
        List<String> keyHolders = ClaimCoverage.holders(view("vm0"), KEY);
        ClaimRound round = new ClaimRound(keyHolders);
        ClaimRequest request = new ClaimRequest(KEY, DIGEST, requestId, 2_000);
        for (String holder : keyHolders) {
            send(() -> {
                HolderDecision decision = holders.get(holder).claim(request, now);
                send(() -> onResult(requestId, round.onReply(holder, decision)));
            });
            schedule(ClaimLimits.CLAIM_TIMEOUT, () -> onResult(requestId, round.onNoReply(holder)));
        }
    }

    /**
     * Runs the request or not if its key is claimed; its outcome is reported, reported as unknown, or never reported
     * because its VM is lost.
     */
    private void onResult(String requestId, Optional<ClaimResult> result) {
        if (result.isEmpty()) {
            return;
        }
        if (!(result.get() instanceof ClaimResult.Claimed)) {
            complete(requestId, ClaimStatus.NOT_RUN);
            return;
        }
        claims++;
        boolean ran = random.nextInt(3) > 0;
        runs += ran ? 1 : 0;
        ClaimStatus outcome = ran ? ClaimStatus.RUN : ClaimStatus.NOT_RUN;
        int reportKind = random.nextInt(4);
        if (reportKind > 0) {
            schedule(
                    Duration.ofMillis(random.nextInt(2_000)),
                    () -> complete(requestId, reportKind == 1 ? ClaimStatus.UNKNOWN : outcome));
        }
    }

    private void complete(String requestId, ClaimStatus status) {
        ClaimCompletion completion = new ClaimCompletion(KEY, DIGEST, requestId, status, Optional.empty());
        for (String holder : ClaimCoverage.holders(view("vm0"), KEY)) {
            send(() -> holders.get(holder).complete(completion, now));
            send(() -> holders.get(holder).complete(completion, now));
        }
    }

    private void send(Runnable delivery) {
        if (random.nextDouble() < lossProbability) {
            return;
        }
        int copies = random.nextInt(10) == 0 ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            schedule(Duration.ofMillis(random.nextInt(20) == 0 ? random.nextInt(3_000) : random.nextInt(20)), delivery);
        }
    }

    private void schedule(Duration delay, Runnable task) {
        events.add(new Event(now + delay.toNanos(), order++, task));
    }

    private void run(Duration duration) {
        long end = now + duration.toNanos();
        while (!events.isEmpty() && events.peek().at() <= end) {
            Event event = events.poll();
            now = event.at();
            event.task().run();
        }
        now = end;
    }

    private record Event(long at, long order, Runnable task) {}
}
