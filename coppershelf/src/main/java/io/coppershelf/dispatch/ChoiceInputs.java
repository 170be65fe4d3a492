package io.coppershelf.dispatch;

import java.time.Duration;

/**
 * What the choice of a server went by.
 *
 * @param unhealthyProbability the probability that the server is sick
 * @param observationAge the time since the last observation of the server
 * @param busy the requests that the server was thought to have
 */
public record ChoiceInputs(double unhealthyProbability, Duration observationAge, double busy) {}
