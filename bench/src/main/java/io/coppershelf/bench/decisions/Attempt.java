package io.coppershelf.bench.decisions;

/**
 * One attempt of a request.
 *
 * @param attemptId the id of the attempt
 * @param request the request
 */
record Attempt(String attemptId, BenchRequest request) {}
