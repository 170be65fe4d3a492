package io.coppershelf.health.internal;

/**
 * The time of an event.
 *
 * @param nowNanos the monotonic time, for limits that other VMs rely on
 * @param observedNanos the observed time, for evidence
 */
public record EventTime(long nowNanos, long observedNanos) {}
