package io.coppershelf.bench.decisions;

/**
 * One try of a request.
 *
 * @param attemptId its id
 * @param request the request
 */
record Attempt(String attemptId, BenchRequest request) {}
