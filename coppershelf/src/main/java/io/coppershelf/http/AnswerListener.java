package io.coppershelf.http;

/** Receives the end of an exchange, once, on the thread of the connection. */
public interface AnswerListener {
    /** Returns whether the answer belongs to the request; other answers are skipped. */
    boolean belongsToRequest(HttpAnswer answer);

    /** Called when the complete answer has arrived. */
    void answered(HttpAnswer answer);

    /**
     * Called when the connection has ended or delivered bytes that are not an answer.
     *
     * @param isGarbled whether the bytes that had arrived are not a complete answer
     * @param reason what happened, for the log
     */
    void lost(boolean isGarbled, String reason);
}
