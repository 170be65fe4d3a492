package io.coppershelf.overload;

/**
 * What the decision on a request depends on.
 *
 * @param rank the urgency, 0 is the most urgent
 * @param route the name of the route, under which the work of its requests is learned
 * @param place a hash of what the caller sends, which decides on the place among requests of the same rank and work; a
 *     refused request that returns has the same one
 * @param bytes the length of the body
 * @param remainingNanos the time until the caller must have an answer
 */
public record AdmissionRequest(int rank, String route, long place, int bytes, long remainingNanos) {}
