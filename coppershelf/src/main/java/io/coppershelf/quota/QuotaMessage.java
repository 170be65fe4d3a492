package io.coppershelf.quota;

/** A message between a VM that needs tokens and one that grants them. */
public sealed interface QuotaMessage {
    /** Returns the name of the tenant. */
    String tenant();

    /**
     * Requests tokens, and returns those that were not used.
     *
     * @param version the version of the sender's configuration
     * @param number identifies the request; a repetition has the same number and is not granted twice
     * @param wanted the number of tokens, 0 if the message only returns some
     * @param returned the number of tokens of the receiver that were not used
     * @param spent the number of requests of the tenant that the sender admitted in the last window
     */
    record Request(String tenant, long version, long number, int wanted, int returned, int spent)
            implements QuotaMessage {}

    /**
     * Answers a request.
     *
     * @param version the version of the sender's configuration
     * @param number the number of the request
     * @param granted the number of tokens
     * @param retryAfterMillis the time until tokens are available; 0 if the sender grants no tokens of the tenant
     */
    record Grant(String tenant, long version, long number, int granted, int retryAfterMillis) implements QuotaMessage {}
}
