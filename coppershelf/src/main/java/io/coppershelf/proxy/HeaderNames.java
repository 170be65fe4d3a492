package io.coppershelf.proxy;

/**
 * The names of the headers of the protocol with callers and servers; the platform that the daemon runs on defines them.
 *
 * @param requestId the id that a caller assigns to each of its own attempts; a server repeats it in its answer
 * @param deadlineMillis the time for which the sender waits for the answer, in milliseconds
 * @param targetServer the id of the only server that may run the request
 * @param signature the signature that proves that an answer is from the server
 * @param notRun set by a server that has not run the request
 * @param leaving set by a server that leaves and wants no new requests
 * @param limit the requests a second that a server accepts from all VMs together
 * @param load running requests, queued requests and slots of the server
 * @param apiKey the API key of a caller; never sent to a server
 * @param tenant the name of the tenant that holds the key, for the server
 */
public record HeaderNames(
        String requestId,
        String deadlineMillis,
        String targetServer,
        String signature,
        String notRun,
        String leaving,
        String limit,
        String load,
        String apiKey,
        String tenant) {}
