package io.coppershelf.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Scenario in virtual time: 65 of the 74 servers of a service refuse 55% of the requests unread for 40 s, and three
 * kinds of requests share its retry budget. A refused caller that has the time comes back as it is told.
 */
final class RetryCostLoadTest {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final long WINDOW = 10 * SECOND;
    private static final long END = 40 * SECOND;
    private static final int VMS = 93;
    private static final double RATIO = 0.2;
    private static final int FIXED = 164;
    private static final double REFUSED_SHARE = 65.0 / 74 * 0.55;
    /** Requests a second, by priority. */
    private static final int[] RATES = {12, 300, 4};

    private static final int MAX_SERVERS = 3;
    private static final long TYPICAL = 300 * MILLI;

    private Random random = new Random();
    private boolean isByCost;
    private final List<RetryAllocation> byCost = new ArrayList<>();
    private final List<FleetRetryBudget> byArrival = new ArrayList<>();
    private final PriorityQueue<Arrival> arrivals = new PriorityQueue<>(Comparator.comparingLong(Arrival::atNanos));
    private final Deque<Long> requests = new ArrayDeque<>();
    private final Deque<Long> retries = new ArrayDeque<>();
    private double worstShareOfBound;
    private final int[] sent = new int[RATES.length];
    private final int[] served = new int[RATES.length];

    /** Guards against urgent requests that are refused since retries of others have spent the budget. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void noKindIsServedLessOftenThanALessUrgentOne(long seed) {
        play(seed, true);
        for (int rank = 0; rank + 1 < RATES.length; rank++) {
            assertThat(servedShare(rank)).isAtLeast(servedShare(rank + 1) - 0.05);
        }
    }

    /** Guards against VMs that together retry more than the fleet may, as each sees only a part of the others. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void retriesOfTheFleetStayWithinItsBound(long seed) {
        play(seed, true);
        assertThat(worstShareOfBound).isAtMost(1.0);
    }

    @Test
    void urgentRequestsAreServedMoreOftenThanInOrderOfArrival() {
        play(1, true);
        RetryCostLoadTest before = new RetryCostLoadTest();
        before.play(1, false);
        assertThat(servedShare(0)).isGreaterThan(before.servedShare(0));
    }

    private void play(long seed, boolean allocatesByCost) {
        random = new Random(seed);
        isByCost = allocatesByCost;
        for (int i = 0; i < VMS; i++) {
            byArrival.add(new FleetRetryBudget(RATIO, FIXED, Duration.ofNanos(WINDOW)));
            byCost.add(new RetryAllocation(byArrival.get(i), true));
        }
        for (int rank = 0; rank < RATES.length; rank++) {
            for (double at = 0; at < END; at -= Math.log(1 - random.nextDouble()) * SECOND / RATES[rank]) {
                // Half of the callers wait long enough to come back.
                long timeout = random.nextBoolean() ? 800 * MILLI : 2500 * MILLI;
                arrivals.add(new Arrival((long) at, rank, (long) at + timeout));
                sent[rank]++;
            }
        }
        while (!arrivals.isEmpty()) {
            request(arrivals.poll());
        }
    }

    private void request(Arrival arrival) {
        int vm = random.nextInt(VMS);
        long now = arrival.atNanos;
        count(requests, now);
        if (isByCost) {
            byCost.get(vm).countRequest("s", arrival.rank, now);
        } else {
            byArrival.get(vm).countRequest("s", now);
        }
        boolean isRefused = random.nextDouble() < REFUSED_SHARE;
        for (int server = 1; isRefused && server < MAX_SERVERS && acquire(vm, arrival); server++) {
            count(retries, now);
            recordBound();
            isRefused = random.nextDouble() < REFUSED_SHARE;
        }
        if (!isRefused) {
            served[arrival.rank]++;
            return;
        }
        long back = now + RequestPlan.SHORT_RETRY_AFTER.toNanos() + random.nextInt(100) * MILLI;
        if (back + TYPICAL < arrival.deadlineNanos) {
            arrivals.add(new Arrival(back, arrival.rank, arrival.deadlineNanos));
        }
    }

    private boolean acquire(int vm, Arrival arrival) {
        // Each VM sees four fifths of the others at least.
        int seen = VMS - random.nextInt(VMS / 5);
        long now = arrival.atNanos;
        RetryCost cost = RetryCost.of(arrival.rank, true, arrival.deadlineNanos - now, TYPICAL);
        return isByCost
                ? byCost.get(vm).tryAcquire("s", cost, seen, now)
                : byArrival.get(vm).tryAcquire("s", seen, now);
    }

    private void recordBound() {
        worstShareOfBound = Math.max(worstShareOfBound, retries.size() / (RATIO * requests.size() + FIXED));
    }

    private static void count(Deque<Long> events, long now) {
        events.addLast(now);
        while (now - events.getFirst() > WINDOW) {
            events.removeFirst();
        }
    }

    private double servedShare(int rank) {
        return (double) served[rank] / sent[rank];
    }

    private record Arrival(long atNanos, int rank, long deadlineNanos) {}
}
