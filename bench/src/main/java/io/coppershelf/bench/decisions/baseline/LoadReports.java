package io.coppershelf.bench.decisions.baseline;

/** The load that servers report. It lags behind the actual load and may be misleading. */
@FunctionalInterface
public interface LoadReports {
    /** Returns the number of attempts in progress that the server last reported. */
    int load(String server);
}
