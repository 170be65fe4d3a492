package io.coppershelf.proxy;

/**
 * The names of the headers that carry what the product needs; the platform that it runs on sets them.
 *
 * @param requestId the id of a caller's attempt
 * @param deadlineMillis how long the sender waits, in milliseconds
 * @param targetServer the id of the only server that may run the request
 * @param signature the proof of a server's answer
 * @param notRun stated by a server that has not run the request
 * @param load running requests, waiting requests and slots of the server
 */
public record HeaderNames(
        String requestId, String deadlineMillis, String targetServer, String signature, String notRun, String load) {}
