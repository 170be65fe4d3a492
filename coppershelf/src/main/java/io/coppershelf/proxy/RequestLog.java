package io.coppershelf.proxy;

import io.coppershelf.catalog.Catalog;
import io.coppershelf.dispatch.ChoiceInputs;
import io.coppershelf.eventlog.Fields;
import io.coppershelf.health.estimate.Observation;
import io.coppershelf.overload.AdmissionInputs;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Writes the log lines and metrics of one request. */
final class RequestLog {
    /** Time without a request after which the next one to a server is logged. */
    private static final Duration IDLE = Duration.ofSeconds(2);

    private final TrafficContext context;
    private final ResolvedRequest resolved;
    private final String service;
    private final CallerRequest request;
    private final String requestId;
    private final long deadlineNanos;
    private Optional<AdmissionInputs> refusal = Optional.empty();

    RequestLog(
            TrafficContext context,
            ResolvedRequest resolved,
            String service,
            CallerRequest request,
            String requestId,
            long deadlineNanos) {
        this.context = context;
        this.resolved = resolved;
        this.service = service;
        this.request = request;
        this.requestId = requestId;
        this.deadlineNanos = deadlineNanos;
    }

    /** Keeps the inputs of a refusal for the line on the end of the request. */
    void refusedBy(AdmissionInputs inputs) {
        refusal = Optional.of(inputs);
    }

    /** Records the end of the request. */
    void ended(String outcome, String reason, boolean isRoutine, int serversReached, int attempts, CrashWatch crashes) {
        long now = System.nanoTime();
        long tookNanos = now - request.readAtNanos();
        context.metrics().requestEnded();
        context.metrics().recordRequest(outcome, tookNanos);
        Map<String, Object> fields = Fields.of(
                "request", requestId,
                "route", resolved.route().name(),
                "service", service,
                "outcome", outcome,
                "reason", reason,
                "tookMs", TimeUnit.NANOSECONDS.toMillis(tookNanos),
                "leftMs", TimeUnit.NANOSECONDS.toMillis(deadlineNanos - now),
                "servers", serversReached,
                "attempts", attempts);
        resolved.tenant().ifPresent(tenant -> fields.put("tenant", tenant.name()));
        refusal.ifPresent(inputs -> putInputs(inputs, fields));
        request.relay().ifPresent(relay -> fields.put("relayedBy", relay.vm()));
        if (isRoutine) {
            context.log().routine("request-ended", fields);
        } else {
            // Tell which failed requests are the same; their ids differ.
            fields.put("caller", request.caller());
            fields.put("fingerprint", crashes.fingerprint().toString());
            context.log().important("request-ended", fields);
        }
    }

    private static void putInputs(AdmissionInputs inputs, Map<String, Object> fields) {
        fields.put("priority", inputs.rank());
        fields.put("position", inputs.position());
        fields.put("threshold", inputs.threshold());
        fields.put("fill", inputs.fill());
        inputs.ages().counts().ifPresent(age -> fields.put("countsMsBefore", age.toMillis()));
        inputs.ages().summaries().ifPresent(age -> fields.put("summariesMsBefore", age.toMillis()));
        inputs.ages().answers().ifPresent(age -> fields.put("answerMsBefore", age.toMillis()));
        fields.put("viewIncomplete", inputs.isViewIncomplete());
        fields.put("workMs", inputs.work().toMillis());
    }

    /** Logs the first attempt at a server that has had no request for two seconds, and why it was avoided. */
    void attemptStarted(ServerAttempt attempt) {
        ChoiceInputs inputs = attempt.inputs();
        inputs.idleTime()
                .filter(time -> time.compareTo(IDLE) > 0)
                .ifPresent(time -> context.log()
                        .routine(
                                "server-used-again",
                                Fields.of(
                                        "request", requestId,
                                        "server", attempt.target(),
                                        "service", service,
                                        "idleMs", time.toMillis(),
                                        "evidence",
                                                inputs.evidence()
                                                        .map(Observation::name)
                                                        .orElse(""),
                                        "sicknessThen", inputs.unhealthyProbability())));
    }

    /** Logs the end of an attempt that gave no good answer. */
    void attemptEnded(Attempt attempt, int number, String end, String detail) {
        Catalog catalog = context.state().catalog();
        Map<String, Object> fields = Fields.of(
                "request", requestId,
                "attempt", number,
                "server", attempt.target(),
                "end", end,
                "detail", detail,
                "tookMs", TimeUnit.NANOSECONDS.toMillis(attempt.ageNanos()));
        if (attempt instanceof ServerAttempt sent) {
            ChoiceInputs inputs = sent.inputs();
            fields.put("sicknessThen", inputs.unhealthyProbability());
            fields.put("observedMsBefore", inputs.observationAge().toMillis());
            fields.put("busyThen", inputs.load());
        }
        fields.put("serversRevision", catalog.servers().revision());
        context.log().important("attempt-ended", fields);
    }
}
