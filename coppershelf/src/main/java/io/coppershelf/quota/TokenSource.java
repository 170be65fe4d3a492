package io.coppershelf.quota;

/** Provides the tokens without which requests of tenants with a usage cap are not run. All methods are thread-safe. */
public interface TokenSource {
    /** Receives the result, on any thread. */
    interface Listener {
        /** Admits the request; its caller must check that the token has not expired. */
        void admitted(Token token);

        /** Refuses the request. */
        void refused(Refusal refusal);
    }

    /** Requests a token without blocking; the listener is called once, within a fraction of a second. */
    void acquire(String tenant, Listener listener);

    /** Returns the token of a request that did not run. */
    void giveBack(Token token);
}
