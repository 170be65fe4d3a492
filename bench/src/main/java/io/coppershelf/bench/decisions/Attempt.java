package io.coppershelf.bench.decisions;

/**
 * One try of a request.
 *
 * @param tryId its id
 * @param request the request
 */
record Attempt(String tryId, BenchRequest request) {}
