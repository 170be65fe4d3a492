package io.coppershelf.dispatch;

import io.coppershelf.health.estimate.Observation;
import java.time.Duration;
import java.util.Optional;

/**
 * The inputs to the choice of a server, for the log.
 *
 * @param unhealthyProbability the probability that the server is unhealthy
 * @param observationAge the time since the last observation of the server
 * @param load the estimated number of requests that the server had, in flight or queued
 * @param idleTime the time since the last request of any VM, empty if there was none or this VM doesn't see them all
 * @param evidence the last negative observation of the server, empty if none is known
 */
public record ChoiceInputs(
        double unhealthyProbability,
        Duration observationAge,
        double load,
        Optional<Duration> idleTime,
        Optional<Observation> evidence) {}
