package io.coppershelf.proxy;

import io.coppershelf.catalog.Tenant;
import io.coppershelf.catalog.UsageCap;
import io.coppershelf.eventlog.Fields;
import io.coppershelf.http.HttpAnswer;
import io.coppershelf.outcome.ErrorKind;
import io.coppershelf.outcome.Outcome;
import io.coppershelf.quota.Refusal;
import io.coppershelf.quota.Token;
import io.coppershelf.quota.TokenSource;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Admits the requests of one connection, one after the other: those of tenants with a usage cap need a token. Runs on
 * the traffic thread, which never waits.
 */
final class UsageCapGate {
    private final TrafficContext context;
    private Optional<Wait> wait = Optional.empty();

    UsageCapGate(TrafficContext context) {
        this.context = context;
    }

    /**
     * Admits a request at once or later, or refuses it.
     *
     * @param start starts the request, whose answer goes to the given sink
     */
    void admit(CallerRequest request, ResolvedRequest resolved, AnswerSink sink, Consumer<AnswerSink> start) {
        Optional<TokenSource> tokens = context.state().tokens();
        boolean isCapped = resolved.tenant().flatMap(Tenant::cap).isPresent();
        // The VM that received a relayed request from its caller has taken the token.
        if (!isCapped || tokens.isEmpty() || request.relay().isPresent()) {
            start.accept(sink);
            return;
        }
        context.metrics().requestStarted();
        Wait started = new Wait(tokens.get(), resolved.tenant().get(), request, sink, start);
        wait = Optional.of(started);
        started.request();
    }

    /** Ends the wait of the request whose caller has left. */
    void callerDisconnected() {
        wait.ifPresent(Wait::callerDisconnected);
    }

    /** The wait of one request for its token. */
    private final class Wait implements TokenSource.Listener {
        private final TokenSource tokens;
        private final Tenant tenant;
        private final CallerRequest request;
        private final AnswerSink sink;
        private final Consumer<AnswerSink> start;
        private boolean isEnded;

        Wait(TokenSource tokens, Tenant tenant, CallerRequest request, AnswerSink sink, Consumer<AnswerSink> start) {
            this.tokens = tokens;
            this.tenant = tenant;
            this.request = request;
            this.sink = sink;
            this.start = start;
        }

        void request() {
            tokens.acquire(tenant.name(), this);
        }

        @Override
        public void admitted(Token token) {
            context.loop().execute(() -> use(token));
        }

        @Override
        public void refused(Refusal refusal) {
            context.loop().execute(() -> refuse(refusal));
        }

        private void use(Token token) {
            if (isEnded) {
                tokens.giveBack(token);
                return;
            }
            if (token.isExpired(System.nanoTime())) {
                // This VM was paused since the token was granted.
                tokens.giveBack(token);
                request();
                return;
            }
            end();
            start.accept(new TokenSink(sink, () -> tokens.giveBack(token)));
            context.metrics().requestEnded();
        }

        private void refuse(Refusal refusal) {
            if (isEnded) {
                return;
            }
            end();
            context.metrics().requestEnded();
            ErrorKind kind = refusal.isOverCap() ? ErrorKind.OVER_USAGE_CAP : ErrorKind.USAGE_CAP_UNKNOWN;
            context.metrics().recordRequest(kind.code(), System.nanoTime() - request.readAtNanos());
            context.metrics().recordCapRefusal(refusal.isOverCap());
            log(kind, refusal);
            sink.fail(kind, reason(refusal), Optional.of(refusal.retryAfter()));
        }

        private static String reason(Refusal refusal) {
            return refusal.isOverCap() ? "over the usage cap" : "the usage cap can't be checked";
        }

        private void log(ErrorKind kind, Refusal refusal) {
            String id = request.headers().get(context.names().requestId());
            Map<String, Object> fields = Fields.of(
                    "request", id == null ? "" : id,
                    "outcome", kind.code(),
                    "tenant", tenant.name(),
                    "capPerSecond", tenant.cap().map(UsageCap::perSecond).orElse(0.0),
                    "capBurst", tenant.cap().map(UsageCap::burst).orElse(0.0),
                    "tokens", refusal.tokens(),
                    "reason", reason(refusal),
                    "retryAfterMs", refusal.retryAfter().toMillis());
            refusal.shareAge().ifPresent(age -> fields.put("shareAgeMs", age.toMillis()));
            context.log().important("request-refused", fields);
        }

        void callerDisconnected() {
            if (!isEnded) {
                end();
                context.metrics().requestEnded();
                context.metrics().recordRequest("caller-left", System.nanoTime() - request.readAtNanos());
            }
        }

        private void end() {
            isEnded = true;
            wait = Optional.empty();
        }
    }

    /** Returns the token of a request that was refused without being run. */
    private record TokenSink(AnswerSink sink, Runnable giveBack) implements AnswerSink {
        @Override
        public void deliver(HttpAnswer answer) {
            sink.deliver(answer);
        }

        @Override
        public void fail(ErrorKind kind, String reason, Optional<Duration> retryAfter) {
            if (kind.outcome() == Outcome.NOT_RUN) {
                giveBack.run();
            }
            sink.fail(kind, reason, retryAfter);
        }
    }
}
