package io.coppershelf.overload;

import io.coppershelf.catalog.BackendServer;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/** Decides on the requests of one service. Not thread-safe. */
public final class ServiceAdmission {
    /**
     * Share of the common share that the least urgent requests get at least. A quarter is guaranteed; the rest allows
     * for the scatter of small numbers.
     */
    private static final double FLOOR_SHARE = 0.3;
    /** Weight of a request in the share of admitted ones, which covers about the last fifty. */
    private static final double SHARE_WEIGHT = 0.02;
    /** Largest effect of the work on the order among requests of one rank. */
    private static final double MAX_WORK_RATIO = 4;
    /** Work of a byte of a body: its transfer to and from a VM with 10 Mbit/s. */
    private static final double NANOS_PER_BYTE = 1600;
    /** An odd number close to 2^64 times the golden ratio, which spreads similar hashes evenly. */
    private static final long GOLDEN_RATIO = 0x9E3779B97F4A7C15L;

    /** Time between two updates; the counts of other VMs arrive less often. */
    private static final long UPDATE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

    private final RankOrder ranks;
    private final AdmissionThreshold threshold;
    private final FillEstimate fillEstimate = new FillEstimate();
    private final LearnedWork work = new LearnedWork();
    private final FreedPlaces places;
    private final RetryAdvice advice;
    private final ShortageCounts counts;
    private double arrivedForAdmitted = 1;
    private double admittedShare = 1;
    private double typicalBytes;
    private boolean isUpdated;
    private long updatedNanos;

    /** Creates a control for a service whose requests have these ranks. */
    public ServiceAdmission(RankOrder ranks, Random random) {
        this.ranks = ranks;
        threshold = new AdmissionThreshold(ranks.size());
        places = new FreedPlaces(random);
        advice = new RetryAdvice(random);
        counts = new ShortageCounts(ranks.size());
    }

    /** Returns the ranks of the service. */
    public RankOrder ranks() {
        return ranks;
    }

    /**
     * Records the load that a server states in an answer, running and queued requests without the answered one.
     *
     * @param counted what was counted at this time, with the answered request
     * @param isFailure whether the answer is a failure or a refusal
     */
    public void recordLoad(BackendServer server, int load, CountedLoad counted, boolean isFailure, long nowNanos) {
        fillEstimate.recordAnswer(load, counted, nowNanos);
        if (!isFailure) {
            places.add(server, load, nowNanos);
        }
    }

    /**
     * Returns the servers among which an admitted request chooses: all unless the service is short of capacity.
     *
     * @param isCounted returns whether this VM receives the counts of all VMs for the servers of a data centre
     */
    public List<BackendServer> candidates(List<BackendServer> servers, Predicate<String> isCounted, long nowNanos) {
        if (!isUnderPressure()) {
            return servers;
        }
        List<BackendServer> near = fillEstimate.isNearPreferred()
                ? servers.stream()
                        .filter(server -> isCounted.test(server.dataCentre()))
                        .toList()
                : List.of();
        return places.candidates(servers, near.isEmpty() ? servers : near, nowNanos);
    }

    /**
     * Records that a request was answered.
     *
     * @param nanos the time from its sending to its answer
     */
    public void recordAnswer(String route, long nanos) {
        work.record(route, nanos / (1 + threshold.queuedRounds()));
    }

    /**
     * Takes in the present load of the service.
     *
     * @param loads the counts that the VMs share, one for each data centre
     */
    public void update(List<CountedLoad> loads, long nowNanos) {
        isUpdated = true;
        updatedNanos = nowNanos;
        fillEstimate.update(loads, nowNanos);
        threshold.update(fillEstimate.fill(), work.ofAll(), nowNanos);
    }

    /** Returns whether the last update is old enough for a new one, which takes time with many servers. */
    public boolean isUpdateDue(long nowNanos) {
        return !isUpdated || nowNanos - updatedNanos >= UPDATE_INTERVAL_NANOS;
    }

    /** Returns whether the service is short of capacity. */
    public boolean isUnderPressure() {
        return threshold.isUnderPressure();
    }

    /** Decides on a request that has arrived; {@link #update} tells the load before. */
    public AdmissionDecision decide(AdmissionRequest request, long nowNanos) {
        if (!threshold.isUnderPressure()) {
            return new AdmissionDecision.Admit();
        }
        int index = ranks.index(request.rank());
        typicalBytes += SHARE_WEIGHT * (request.bytes() - typicalBytes);
        double requestWork = work.of(request.route()) + NANOS_PER_BYTE * request.bytes();
        double within = within(request, requestWork);
        boolean isInFloor = within < FLOOR_SHARE * admittedShare;
        double position = isInFloor ? 0 : index + within;
        boolean isTooLate = isTooLate(request);
        boolean isAdmitted = !isTooLate && (isInFloor || position < threshold.value() || places.hasFreeSlot(nowNanos));
        if (isAdmitted) {
            recordAdmitted(index, within);
        }
        counts.record(index, isAdmitted);
        if (isAdmitted) {
            return new AdmissionDecision.Admit();
        }
        Duration retryAfter = advice.retryAfter(index, admittedShare);
        AdmissionInputs inputs = new AdmissionInputs(
                request.rank(),
                position,
                threshold.value(),
                threshold.fill(),
                fillEstimate.ages(nowNanos),
                fillEstimate.isViewIncomplete(),
                Duration.ofNanos((long) requestWork));
        String reason = isTooLate ? "the deadline can't be met" : "the service is short of capacity";
        return new AdmissionDecision.Refuse(reason, retryAfter, inputs);
    }

    /**
     * Takes an admitted request into the share of admitted ones. Refused requests are not counted, since callers may
     * return any number of times; the part of the places that is admitted shows how many there are.
     */
    private void recordAdmitted(int index, double within) {
        double admittedPart = Math.min(1, Math.max(threshold.value() - index, FLOOR_SHARE * admittedShare));
        if (within < admittedPart) {
            arrivedForAdmitted += SHARE_WEIGHT * (1 / admittedPart - arrivedForAdmitted);
            admittedShare = 1 / arrivedForAdmitted;
        }
    }

    private boolean isTooLate(AdmissionRequest request) {
        double waitNanos = threshold.queuedRounds() * work.ofAll();
        return request.remainingNanos() < waitNanos + work.leastOf(request.route());
    }

    /**
     * Returns the place of a request among those of its rank, from 0 to 1: evenly spread, and earlier for less work. It
     * follows from the request, so that a caller that returns at once has the same place at each VM.
     */
    private double within(AdmissionRequest request, double requestWork) {
        double place = ((request.place() * GOLDEN_RATIO) >>> 11) * 0x1p-53;
        double typicalWork = work.ofAll() + NANOS_PER_BYTE * typicalBytes;
        double ratio = Math.max(1 / MAX_WORK_RATIO, Math.min(MAX_WORK_RATIO, requestWork / typicalWork));
        return ratio <= 1 ? place * ratio : 1 - (1 - place) / ratio;
    }

    /** Returns the counts since the last call, and starts new ones. */
    public ShortageCounts.Summary pollCounts(long nowNanos) {
        return counts.poll(
                threshold.value(),
                threshold.fill(),
                threshold.queuedRounds() * work.ofAll(),
                fillEstimate.ages(nowNanos));
    }
}
