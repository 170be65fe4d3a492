package io.coppershelf.proxy;

import io.coppershelf.catalog.BackendServer;
import io.coppershelf.dispatch.ChoiceInputs;
import io.coppershelf.dispatch.ServerStats;
import io.coppershelf.health.estimate.Observation;
import io.coppershelf.http.AnswerListener;
import io.coppershelf.http.HttpAnswer;
import io.coppershelf.http.HttpConnection;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.util.Locale;
import java.util.Optional;

/**
 * One attempt of a request at one server: sends the request, classifies the end, and reports the resulting observation
 * of the server.
 */
final class ServerAttempt implements AnswerListener {
    /** How an attempt ended. */
    enum End {
        /** No byte was sent. */
        NOT_SENT,
        /** The server stated that it has not run the request. */
        NOT_RUN,
        /** A complete answer of the server that is not a failure. */
        ANSWERED,
        /** A complete answer of the server that reports a failure of its own. */
        FAILED,
        /** No valid answer; the request may have run. */
        LOST
    }

    /** Receives the end of the attempt. */
    interface Listener {
        /** Called once, when the attempt has ended. */
        void ended(int attempt, End end, String detail);
    }

    private static final int STATUS_TOO_MANY = 429;
    private static final int STATUS_MISDIRECTED = 421;
    private static final int STATUS_REQUEST_TIMEOUT = 408;
    private static final int STATUS_UNAVAILABLE = 503;
    private static final int STATUS_SERVER_ERROR = 500;

    private final TrafficContext context;
    private final int number;
    private final BackendServer server;
    private final String requestId;
    private final Listener listener;
    private final ServerStats stats;
    private final ServerNotices notices;
    private final ChoiceInputs inputs;
    private final long startedNanos = System.nanoTime();
    private Optional<HttpConnection> connection = Optional.empty();
    private Optional<HttpAnswer> answer = Optional.empty();
    private boolean isEnded;
    private boolean isStallReported;

    ServerAttempt(TrafficContext context, int number, BackendServer server, String requestId, Listener listener) {
        this.context = context;
        this.number = number;
        this.server = server;
        this.requestId = requestId;
        this.listener = listener;
        stats = context.chooser().stats(server);
        inputs = context.chooser().inputs(server, startedNanos);
        notices = new ServerNotices(context, server, stats);
        stats.requestStarted(startedNanos);
        context.state().reports().loadChanged(server, stats.inFlight(), true);
    }

    BackendServer server() {
        return server;
    }

    /** Returns the inputs to the choice of the server. */
    ChoiceInputs inputs() {
        return inputs;
    }

    /** Returns the answer; the attempt must have ended with one. */
    HttpAnswer answer() {
        return answer.orElseThrow();
    }

    boolean isEnded() {
        return isEnded;
    }

    /** Records the connection over which the request is sent next. */
    void connected(HttpConnection opened) {
        connection = Optional.of(opened);
        stats.recordPathSuccess();
    }

    /** Ends the attempt because there is no connection; nothing was sent. */
    void connectFailed(String reason) {
        if (!isEnded) {
            stats.recordPathFailure(System.nanoTime());
            end(End.NOT_SENT, reason);
        }
    }

    /** Ends the attempt before the request was sent, although there was a connection. */
    void notSent(String reason) {
        if (!isEnded) {
            end(End.NOT_SENT, reason);
        }
    }

    /** Reports to the fleet that the server is much slower than typical. */
    void reportStall() {
        if (!isEnded && !isStallReported) {
            isStallReported = true;
            context.state().reports().observed(server, Observation.STALL);
        }
    }

    /** Cancels the request at the server by closing the connection; the listener is not called. */
    void cancel() {
        if (isEnded) {
            return;
        }
        isEnded = true;
        stats.requestEnded();
        context.state().reports().loadChanged(server, stats.inFlight(), false);
        connection.ifPresent(HttpConnection::close);
        context.metrics().recordAttempt("cancelled");
    }

    @Override
    public boolean belongsToRequest(HttpAnswer received) {
        String echoed = received.headers().get(context.names().requestId());
        return echoed == null ? isRefusal(received) : echoed.equals(requestId);
    }

    @Override
    public void answered(HttpAnswer received) {
        if (isEnded) {
            return;
        }
        boolean wantsPause = notices.record(received);
        if (isRefusal(received)) {
            endRefused(received, wantsPause);
            return;
        }
        boolean isSigned = received.headers().contains(context.names().signature());
        boolean isSuccess = received.status() / 100 == 2;
        if (received.headers().contains(HttpHeaderNames.CONTENT_ENCODING) || (isSuccess && !isSigned)) {
            context.state().reports().observed(server, Observation.GARBLED);
            end(End.LOST, "answer without the server's mark, status " + received.status());
            return;
        }
        if (isRefusalStatus(received.status())) {
            context.state().reports().observed(server, Observation.FAILURE);
            end(End.LOST, "refusal without proof, status " + received.status());
            return;
        }
        answer = Optional.of(received);
        boolean isFailure = received.status() >= STATUS_SERVER_ERROR;
        if (isFailure || !isStallReported) {
            context.state().reports().observed(server, isFailure ? Observation.FAILURE : Observation.SUCCESS);
        }
        end(isFailure ? End.FAILED : End.ANSWERED, "status " + received.status());
    }

    @Override
    public void lost(boolean isGarbled, String reason) {
        if (isEnded) {
            return;
        }
        context.state().reports().observed(server, isGarbled ? Observation.GARBLED : Observation.FAILURE);
        end(End.LOST, reason);
    }

    /** Returns the time since the start of the attempt, in nanoseconds. */
    long ageNanos() {
        return System.nanoTime() - startedNanos;
    }

    private boolean isRefusal(HttpAnswer received) {
        return received.status() == STATUS_MISDIRECTED
                || received.headers().contains(context.names().notRun());
    }

    private void endRefused(HttpAnswer received, boolean wantsPause) {
        if (received.status() == STATUS_MISDIRECTED) {
            stats.recordPathFailure(System.nanoTime());
        } else if (!wantsPause) {
            context.state().reports().observed(server, Observation.SHED);
        }
        end(End.NOT_RUN, "status " + received.status() + (wantsPause ? ", pause requested" : ""));
    }

    private static boolean isRefusalStatus(int status) {
        return status == STATUS_UNAVAILABLE || status == STATUS_TOO_MANY || status == STATUS_REQUEST_TIMEOUT;
    }

    private void end(End end, String detail) {
        isEnded = true;
        stats.requestEnded();
        context.state().reports().loadChanged(server, stats.inFlight(), false);
        context.metrics().recordAttempt(end.name().toLowerCase(Locale.ROOT));
        listener.ended(number, end, detail);
    }
}
