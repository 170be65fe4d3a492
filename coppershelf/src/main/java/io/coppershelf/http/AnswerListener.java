package io.coppershelf.http;

/** Hears how an exchange ended, once, on the thread of the connection. */
public interface AnswerListener {
    /** Returns whether the answer belongs to the request; one that does not is skipped. */
    boolean belongsToRequest(HttpAnswer answer);

    /** The whole answer has arrived. */
    void answered(HttpAnswer answer);

    /**
     * The connection ended, or brought bytes that are no answer.
     *
     * @param isGarbled whether bytes of an answer had arrived that are not a whole one
     * @param reason what happened, for the log
     */
    void lost(boolean isGarbled, String reason);
}
