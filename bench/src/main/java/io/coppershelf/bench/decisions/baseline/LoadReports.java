package io.coppershelf.bench.decisions.baseline;

/** The load that servers report, which lags and may mislead. */
@FunctionalInterface
public interface LoadReports {
    /** Returns the tries that the server last reported to run. */
    int load(String server);
}
