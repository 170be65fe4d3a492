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
 * of the server, but for that of a lost connection, which may be due to the path of this VM.
 */
final class ServerAttempt implements Attempt, AnswerListener {
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
    private final boolean isLarge;
    private final ServerStats stats;
    private final ServerNotices notices;
    private final ChoiceInputs inputs;
    private final long startedNanos = System.nanoTime();
    private Optional<HttpConnection> connection = Optional.empty();
    private Optional<HttpAnswer> answer = Optional.empty();
    private Optional<Observation> unreportedLoss = Optional.empty();
    private boolean isEnded;
    private boolean isStallReported;

    /**
     * Creates an attempt that is not sent yet.
     *
     * @param isLarge whether the request counts as a large body at the server
     */
    ServerAttempt(
            TrafficContext context,
            int number,
            BackendServer server,
            String requestId,
            boolean isLarge,
            Listener listener) {
        this.context = context;
        this.number = number;
        this.server = server;
        this.requestId = requestId;
        this.listener = listener;
        this.isLarge = isLarge;
        stats = context.chooser().stats(server);
        inputs = context.chooser().inputs(server, startedNanos);
        notices = new ServerNotices(context, server, stats);
        stats.requestStarted(startedNanos);
        context.state().reports().loadChanged(server, stats.inFlight(), true);
        context.serverBodies().started(server, isLarge);
    }

    BackendServer server() {
        return server;
    }

    /** Returns the inputs to the choice of the server. */
    ChoiceInputs inputs() {
        return inputs;
    }

    /**
     * Returns what the loss of the connection before any byte of an answer shows of the server, if the paths of this VM
     * are not the cause.
     */
    Optional<Observation> unreportedLoss() {
        return unreportedLoss;
    }

    @Override
    public String target() {
        return server.id();
    }

    @Override
    public HttpAnswer answer() {
        return answer.orElseThrow();
    }

    @Override
    public boolean isEnded() {
        return isEnded;
    }

    @Override
    public void connected(HttpConnection opened) {
        connection = Optional.of(opened);
        stats.recordPathSuccess();
        context.reachability().requestSent(System.nanoTime());
    }

    @Override
    public void connectFailed(String reason) {
        if (!isEnded) {
            stats.recordPathFailure(System.nanoTime());
            end(End.NOT_SENT, reason);
        }
    }

    @Override
    public void notSent(String reason) {
        if (!isEnded) {
            end(End.NOT_SENT, reason);
        }
    }

    /** Reports a stall if the server has not read the request yet, as far as the buffers of the connection show. */
    void reportStallUnlessRead() {
        if (connection.isPresent() && !connection.get().isRequestWritten()) {
            reportStall();
        }
    }

    /** Reports to the fleet that the server is much slower than typical, unless no server has answered meanwhile. */
    void reportStall() {
        if (!isEnded && !isStallReported && context.reachability().hasSignOfLifeSince(startedNanos)) {
            isStallReported = true;
            context.state().reports().observed(server, Observation.STALL);
        }
    }

    @Override
    public void cancel() {
        if (isEnded) {
            return;
        }
        recordEnd(false);
        connection.ifPresent(HttpConnection::close);
        context.metrics().recordAttempt("cancelled");
    }

    /**
     * Returns whether the answer belongs to the request. One without an id can only be a refusal, and only if nothing
     * else on the connection could have caused it: connections with such a refusal are closed, so that a copy of it is
     * never taken for the refusal of a later request.
     */
    @Override
    public boolean belongsToRequest(HttpAnswer received) {
        return echoedId(received)
                .map(echoed -> echoed.equals(requestId))
                .orElseGet(() -> isRefusal(received) && !hasSkippedAnswer());
    }

    private boolean hasSkippedAnswer() {
        return connection.map(HttpConnection::hasSkippedAnswer).orElse(false);
    }

    private Optional<String> echoedId(HttpAnswer received) {
        return Optional.ofNullable(received.headers().get(context.names().requestId()));
    }

    @Override
    public void answered(HttpAnswer received) {
        if (isEnded) {
            return;
        }
        context.reachableChooser().paths().answered(server, System.nanoTime());
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
        if (isFailure || (!isStallReported && context.chooser().isSuccessCurrent(server, startedNanos))) {
            context.state().reports().observed(server, isFailure ? Observation.FAILURE : Observation.SUCCESS);
        }
        end(isFailure ? End.FAILED : End.ANSWERED, "status " + received.status());
    }

    @Override
    public void lost(boolean isGarbled, String reason) {
        if (isEnded) {
            return;
        }
        if (!isGarbled && hasReadingPaused()) {
            // The server gave up an answer that this VM did not read in time.
            end(End.LOST, reason);
            return;
        }
        if (isGarbled) {
            context.state().reports().observed(server, Observation.GARBLED);
        } else {
            unreportedLoss = Optional.of(Observation.FAILURE);
        }
        end(End.LOST, reason);
    }

    @Override
    public boolean hasReadingPaused() {
        return connection.map(HttpConnection::hasReadingPaused).orElse(false);
    }

    @Override
    public boolean isAnswerExpectedWithin(long nanos) {
        return connection.map(open -> open.isEndExpectedWithin(nanos)).orElse(false);
    }

    @Override
    public long ageNanos() {
        return System.nanoTime() - startedNanos;
    }

    private boolean isRefusal(HttpAnswer received) {
        return received.status() == STATUS_MISDIRECTED
                || received.headers().contains(context.names().notRun());
    }

    private void endRefused(HttpAnswer received, boolean wantsPause) {
        if (echoedId(received).isEmpty()) {
            connection.ifPresent(HttpConnection::close);
        }
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
        recordEnd(unreportedLoss.isEmpty());
        context.metrics().recordAttempt(end.name().toLowerCase(Locale.ROOT));
        listener.ended(number, end, detail);
    }

    private void recordEnd(boolean isAnswered) {
        isEnded = true;
        stats.requestEnded();
        context.state().reports().loadChanged(server, stats.inFlight(), false);
        if (isLarge) {
            context.serverBodies().ended(server);
        }
        if (connection.isPresent()) {
            context.reachability().requestEnded(isAnswered, System.nanoTime());
        }
    }
}
