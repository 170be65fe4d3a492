package io.coppershelf.overload;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * The requests at the servers of a service for each of their slots, running and queued. The counts of data centres
 * whose VMs report everything to this one decide, then the summaries of the other data centres, then the loads that
 * servers state in answers to this VM; older inputs have a lower weight. Without any fresh input the fill is 0, so that
 * requests are admitted and the servers refuse them. Not thread-safe.
 */
final class FillEstimate {
    /** Time constant of the weight of counts; all are repeated within a second. */
    private static final double COUNT_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(1500);
    /** The weight of summaries relative to complete counts; they are sent twice a second. */
    private static final double SUMMARY_WEIGHT = 0.6;
    /** The weight of answers to this VM relative to complete counts; they show single servers. */
    private static final double ANSWER_WEIGHT = 0.05;
    /** Weight of all inputs below which nothing is known. */
    private static final double MIN_WEIGHT_OF_ALL = 0.005;
    /** Weight of counts below which they are missing. */
    private static final double MIN_COUNT_WEIGHT = 0.1;
    /** Requests for each slot by which servers with complete counts may be fuller than all and are still preferred. */
    private static final double NEAR_MARGIN = 0.2;
    /** Time constant of the average over answers; a VM gets one to ten answers of a service in a second. */
    private static final double AVERAGE_NANOS = TimeUnit.MILLISECONDS.toNanos(400);
    /** Least weight of an answer; the load of a single server says little about the service. */
    private static final double MIN_WEIGHT = 0.12;
    /** Largest weight of an answer, so that several agree before the average follows. */
    private static final double MAX_WEIGHT = 0.25;
    /** Age from which the average decays, so that a VM that gets no answers sends requests and learns. */
    private static final long DECAY_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

    private final CountCalibration ofCounts = new CountCalibration();
    private final CountCalibration ofSummaries = new CountCalibration();
    private double answered;
    private long answeredAtNanos;
    private boolean hasAnswers;
    private double fill;
    private double nearFill;
    private double countWeight;
    private Optional<Duration> countAge = Optional.empty();
    private Optional<Duration> summaryAge = Optional.empty();

    /**
     * Records the load that a server states in an answer.
     *
     * @param counted what was counted at this time, with the answered request
     */
    void recordAnswer(int load, CountedLoad counted, long nowNanos) {
        (counted.isComplete() ? ofCounts : ofSummaries).record(load + 1, Math.max(1, counted.load()));
        double stated = (double) load / Math.max(1, counted.slots());
        double elapsed = hasAnswers ? nowNanos - answeredAtNanos : 0;
        double weight = 1 - Math.exp(-elapsed / AVERAGE_NANOS);
        answered += Math.max(MIN_WEIGHT, Math.min(MAX_WEIGHT, weight)) * (stated - answered);
        answeredAtNanos = nowNanos;
        hasAnswers = true;
    }

    /** Takes in the counts of all data centres. */
    void update(List<CountedLoad> loads, long nowNanos) {
        double total = 0;
        double weights = 0;
        int slots = 0;
        countAge = Optional.empty();
        summaryAge = Optional.empty();
        for (CountedLoad load : loads) {
            double weight = weight(load);
            total += weight * load.load() * (load.isComplete() ? ofCounts : ofSummaries).ratio();
            weights += weight * load.slots();
            slots += load.slots();
            if (load.isComplete()) {
                nearFill = ofCounts.ratio() * load.load() / Math.max(1, load.slots());
                countAge = load.age();
            } else {
                summaryAge = older(summaryAge, load.age());
            }
        }
        countWeight = slots == 0 ? 0 : weights / slots;
        double answerWeight = hasAnswers ? ANSWER_WEIGHT * freshness(nowNanos) * slots : 0;
        weights += answerWeight;
        total += answerWeight * answered * freshness(nowNanos);
        fill = weights <= MIN_WEIGHT_OF_ALL * slots ? 0 : total / weights;
    }

    private static double weight(CountedLoad load) {
        double fresh = load.age()
                .map(age -> Math.exp(-age.toNanos() / COUNT_AGE_NANOS))
                .orElse(0.0);
        return load.isComplete() ? fresh : SUMMARY_WEIGHT * fresh;
    }

    private static Optional<Duration> older(Optional<Duration> one, Optional<Duration> other) {
        return one.filter(age -> other.isEmpty() || age.compareTo(other.get()) > 0)
                .or(() -> other);
    }

    private double freshness(long nowNanos) {
        double overdue = Math.max(0, nowNanos - answeredAtNanos - DECAY_AFTER_NANOS);
        return Math.exp(-overdue / DECAY_AFTER_NANOS);
    }

    /** Returns the fill. */
    double fill() {
        return fill;
    }

    /**
     * Returns whether the servers with complete counts are not fuller than the others, so that a request is placed best
     * among them: the loads of single servers in summaries are up to half a second old.
     */
    boolean isNearPreferred() {
        return countAge.isPresent() && nearFill <= fill + NEAR_MARGIN;
    }

    /** Returns whether neither counts nor summaries are fresh, so that the answers to this VM decide. */
    boolean isViewIncomplete() {
        return countWeight < MIN_COUNT_WEIGHT;
    }

    /** Returns the ages of the inputs. */
    InputAges ages(long nowNanos) {
        Optional<Duration> answerAge =
                hasAnswers ? Optional.of(Duration.ofNanos(nowNanos - answeredAtNanos)) : Optional.empty();
        return new InputAges(countAge, summaryAge, answerAge);
    }
}
