package io.coppershelf.overload;

/**
 * What the decision on a request depends on.
 *
 * @param rank the urgency, 0 is the most urgent
 * @param route the name of the route, under which the work of its requests is learned
 * @param tenant the name of the tenant, empty if it has none
 * @param remainingNanos the time until the caller must have an answer
 */
public record AdmissionRequest(int rank, String route, String tenant, long remainingNanos) {}
