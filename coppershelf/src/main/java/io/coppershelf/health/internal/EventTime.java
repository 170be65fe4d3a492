package io.coppershelf.health.internal;

/**
 * The time of an event.
 *
 * @param nowNanos the monotonic time, for what is promised to others
 * @param observedNanos the observed time, for evidence
 */
public record EventTime(long nowNanos, long observedNanos) {}
