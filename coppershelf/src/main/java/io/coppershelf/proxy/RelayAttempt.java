package io.coppershelf.proxy;

import io.coppershelf.dispatch.RelayTargets;
import io.coppershelf.http.AnswerListener;
import io.coppershelf.http.HttpAnswer;
import io.coppershelf.http.HttpConnection;
import io.coppershelf.http.RetryAfter;
import io.coppershelf.outcome.ErrorKind;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;

/** One attempt of a request by another VM, which sends it to servers. */
final class RelayAttempt implements Attempt, AnswerListener {
    private static final int FIRST_SERVER_ERROR = 500;

    private final TrafficContext context;
    private final int number;
    private final InetSocketAddress vm;
    private final String requestId;
    private final Listener listener;
    private final long startedNanos = System.nanoTime();
    private Optional<HttpConnection> connection = Optional.empty();
    private Optional<HttpAnswer> answer = Optional.empty();
    private boolean isEnded;

    RelayAttempt(TrafficContext context, int number, InetSocketAddress vm, String requestId, Listener listener) {
        this.context = context;
        this.number = number;
        this.vm = vm;
        this.requestId = requestId;
        this.listener = listener;
    }

    InetSocketAddress vm() {
        return vm;
    }

    /** Returns the number of servers that the other VM states that it sent the request to. */
    int serversReached() {
        return RelayHeaders.servers(answer().headers(), 0);
    }

    /** Returns whether the other VM states that it reaches no server of the service. */
    boolean isOutOfReach() {
        return serversReached() == 0
                && ErrorKind.NO_SERVER.code().equals(answer().headers().get(CallerSink.ERROR));
    }

    /** Returns the time after which the caller may retry, as the other VM states it. */
    Optional<Duration> retryAfter() {
        return RetryAfter.parse(answer().headers());
    }

    /** Records whether the other VM reaches the service. */
    void recordReach(String service, End end, long nowNanos) {
        RelayTargets relays = context.reachableChooser().relays();
        if (end == End.NOT_SENT || (end == End.NOT_RUN && isOutOfReach())) {
            relays.notReached(service, vm, nowNanos);
        } else if (end != End.LOST) {
            relays.reached(service, vm);
        }
    }

    @Override
    public String target() {
        return vm.toString();
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

    @Override
    public void connected(HttpConnection opened) {
        connection = Optional.of(opened);
    }

    @Override
    public void connectFailed(String reason) {
        notSent(reason);
    }

    @Override
    public void notSent(String reason) {
        if (!isEnded) {
            end(End.NOT_SENT, reason);
        }
    }

    @Override
    public void cancel() {
        if (!isEnded) {
            isEnded = true;
            connection.ifPresent(HttpConnection::close);
            context.metrics().recordRelay("cancelled");
        }
    }

    @Override
    public boolean belongsToRequest(HttpAnswer received) {
        String echoed = received.headers().get(context.names().requestId());
        return echoed == null ? requestId.isEmpty() : echoed.equals(requestId);
    }

    @Override
    public void answered(HttpAnswer received) {
        if (isEnded) {
            return;
        }
        answer = Optional.of(received);
        String detail = "status " + received.status();
        switch (RelayHeaders.Result.of(received.headers())) {
            case SERVER_ANSWER -> end(received.status() < FIRST_SERVER_ERROR ? End.ANSWERED : End.FAILED, detail);
            case NOT_RUN -> end(End.NOT_RUN, detail);
            default -> end(End.LOST, detail);
        }
    }

    @Override
    public void lost(boolean isGarbled, String reason) {
        if (!isEnded) {
            end(End.LOST, reason);
        }
    }

    private void end(End end, String detail) {
        isEnded = true;
        context.metrics().recordRelay(end.name().toLowerCase(Locale.ROOT));
        listener.ended(number, end, detail);
    }
}
