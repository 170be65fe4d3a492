package io.coppershelf.bench.decisions;

import java.util.ArrayList;
import java.util.List;

/** The figures of one run, or the sums over several runs. */
final class RunResult {
    final List<Double> detectionSeconds = new ArrayList<>();
    final List<Double> latencyMillis = new ArrayList<>();
    final List<Double> refusalMillis = new ArrayList<>();
    double weightOffered;
    double weightInTime;
    double workPossible;
    double workInTime;
    double serverHours;
    int falseEjections;
    long requests;
    long refused;
    long lost;
    long late;
    long wrongOutcome;
    long executedTwice;
    long shed;
    long messages;
    int lowestAboveFloor = Integer.MAX_VALUE;

    /** Adds the figures of another run. */
    void add(RunResult other) {
        detectionSeconds.addAll(other.detectionSeconds);
        latencyMillis.addAll(other.latencyMillis);
        refusalMillis.addAll(other.refusalMillis);
        weightOffered += other.weightOffered;
        weightInTime += other.weightInTime;
        workPossible += other.workPossible;
        workInTime += other.workInTime;
        serverHours += other.serverHours;
        falseEjections += other.falseEjections;
        requests += other.requests;
        refused += other.refused;
        lost += other.lost;
        late += other.late;
        wrongOutcome += other.wrongOutcome;
        executedTwice += other.executedTwice;
        shed += other.shed;
        messages += other.messages;
        lowestAboveFloor = Math.min(lowestAboveFloor, other.lowestAboveFloor);
    }

    /** Returns the weighted share of requests that were answered in time. */
    double shareInTime() {
        return weightInTime / weightOffered;
    }

    /** Returns the weighted work done in time, relative to the maximum that the healthy servers can do. */
    double shareCarried() {
        return workInTime / workPossible;
    }

    /** Returns the false ejections per server-hour. */
    double falseEjectionsPerServerHour() {
        return falseEjections / serverHours;
    }

    /** Returns the messages between VMs per request. */
    double messagesPerRequest() {
        return (double) messages / requests;
    }

    /** Returns a quantile of the values, NaN if there are none. */
    static double quantile(List<Double> values, double share) {
        if (values.isEmpty()) {
            return Double.NaN;
        }
        List<Double> sorted = values.stream().sorted().toList();
        int index = (int) Math.ceil(share * sorted.size()) - 1;
        return sorted.get(Math.max(0, index));
    }
}
