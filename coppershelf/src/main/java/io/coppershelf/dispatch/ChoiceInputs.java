package io.coppershelf.dispatch;

import java.time.Duration;

/**
 * The inputs to the choice of a server, for the log.
 *
 * @param unhealthyProbability the probability that the server is unhealthy
 * @param observationAge the time since the last observation of the server
 * @param load the estimated number of requests that the server had, in flight or queued
 */
public record ChoiceInputs(double unhealthyProbability, Duration observationAge, double load) {}
