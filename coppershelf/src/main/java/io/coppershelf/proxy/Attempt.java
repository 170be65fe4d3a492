package io.coppershelf.proxy;

import io.coppershelf.http.HttpAnswer;
import io.coppershelf.http.HttpConnection;

/** One attempt of a request, at a server or at another VM. */
interface Attempt {
    /** How an attempt ended. */
    enum End {
        /** No byte was sent. */
        NOT_SENT,
        /** The receiver stated that the request has not run. */
        NOT_RUN,
        /** A complete answer of a server that is not a failure. */
        ANSWERED,
        /** A complete answer of a server that reports a failure of its own. */
        FAILED,
        /** No valid answer; the request may have run. */
        LOST
    }

    /** Receives the end of the attempt. */
    interface Listener {
        /** Called once, when the attempt has ended. */
        void ended(int attempt, End end, String detail);
    }

    /** Returns the id of the server, or the address of the VM. */
    String target();

    /** Returns the answer; the attempt must have ended with one. */
    HttpAnswer answer();

    boolean isEnded();

    /**
     * Returns whether reading of the answer was paused for lack of memory, so that its delay shows nothing of the
     * receiver.
     */
    boolean hasReadingPaused();

    /** Returns whether a complete answer can be expected within a time, since the rest of it is known. */
    boolean isAnswerExpectedWithin(long nanos);

    /** Returns the time since the start of the attempt, in nanoseconds. */
    long ageNanos();

    /** Records the connection over which the request is sent next. */
    void connected(HttpConnection opened);

    /** Ends the attempt because there is no connection; nothing was sent. */
    void connectFailed(String reason);

    /** Ends the attempt before the request was sent, although there was a connection. */
    void notSent(String reason);

    /** Cancels the request by closing the connection; the listener is not called. */
    void cancel();
}
