package io.coppershelf.proxy;

import io.coppershelf.catalog.FleetConfiguration;
import io.coppershelf.catalog.Route;
import io.coppershelf.catalog.TenantTable;
import io.coppershelf.dispatch.TypicalLatency;
import io.coppershelf.eventlog.Fields;
import io.coppershelf.outcome.ErrorKind;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** Finds the route and the tenant of a request, or answers the request with an error if there is none. */
final class RouteResolver {
    private static final Duration STARTING_RETRY_AFTER = Duration.ofMillis(500);
    /** Largest number of digits of a valid deadline; the conversion of more may overflow. */
    private static final int MAX_DEADLINE_DIGITS = 12;

    private final TrafficContext context;
    private final CallerIdentity identity;

    RouteResolver(TrafficContext context) {
        this.context = context;
        identity = new CallerIdentity(context.names());
    }

    /** Returns the route and the tenant; if the result is empty, the request has been answered. */
    Optional<ResolvedRequest> resolve(CallerRequest request, AnswerSink sink) {
        // Read before the configuration: a key is not unknown if its configuration comes into force in between.
        boolean isCurrent = context.state().isConfigurationCurrent();
        Optional<FleetConfiguration> configuration = context.state().catalog().configuration();
        if (configuration.isEmpty()) {
            refuse(request, sink, ErrorKind.STARTING, "no configuration is known yet", 0);
            return Optional.empty();
        }
        String host = request.headers().get(HttpHeaderNames.HOST);
        if (host == null) {
            refuse(request, sink, ErrorKind.MALFORMED_REQUEST, "the request names no host", 0);
            return Optional.empty();
        }
        Optional<Route> route = configuration.get().routes().match(host, request.uri());
        if (route.isEmpty()) {
            refuse(
                    request,
                    sink,
                    ErrorKind.UNKNOWN_ROUTE,
                    "no route for this host and path",
                    configuration.get().version());
            return Optional.empty();
        }
        return identify(request, route.get(), configuration.get(), isCurrent, sink);
    }

    private Optional<ResolvedRequest> identify(
            CallerRequest request, Route route, FleetConfiguration configuration, boolean isCurrent, AnswerSink sink) {
        if (configuration.tenants().isEmpty()) {
            return Optional.of(new ResolvedRequest(route, Optional.empty()));
        }
        boolean isSufficient = context.state().isConfigurationSufficient();
        TenantTable tenants = isSufficient ? configuration.tenants().get() : TenantTable.EMPTY;
        CallerIdentity.Result result = identity.identify(request, route, tenants);
        if (result instanceof CallerIdentity.Result.Accepted accepted) {
            return Optional.of(new ResolvedRequest(route, accepted.tenant()));
        }
        CallerIdentity.Result.Rejected rejected = (CallerIdentity.Result.Rejected) result;
        Map<String, Object> details = new LinkedHashMap<>();
        rejected.keyDigest().ifPresent(digest -> details.put("keyDigest", digest));
        if (isCurrent && isSufficient) {
            refuse(request, sink, ErrorKind.UNKNOWN_API_KEY, rejected.reason(), configuration.version(), details);
        } else {
            // The key may be one of the newer configuration.
            String reason = "it is not known yet whether the API key is valid";
            refuse(request, sink, ErrorKind.STARTING, reason, configuration.version(), details);
        }
        return Optional.empty();
    }

    /** Refuses a request that is not likely to end before the VM stops; returns whether it was refused. */
    boolean refuseIfTooLate(CallerRequest request, ResolvedRequest resolved, String service, AnswerSink sink) {
        TypicalLatency latency =
                context.latency(service, resolved.route().kind().name());
        if (context.stopDeadline().allows(latency, System.nanoTime())) {
            return false;
        }
        refuse(
                request,
                sink,
                ErrorKind.STOPPING,
                "the VM stops before the request is likely to end",
                context.state()
                        .catalog()
                        .configuration()
                        .map(FleetConfiguration::version)
                        .orElse(0L));
        return true;
    }

    /** Returns the time for which the caller waits, if the request states it. */
    Optional<Duration> callerTimeout(CallerRequest request) {
        String text = request.headers().get(context.names().deadlineMillis());
        boolean isNumber = text != null
                && !text.isEmpty()
                && text.length() <= MAX_DEADLINE_DIGITS
                && text.chars().allMatch(Character::isDigit);
        return isNumber ? Optional.of(Duration.ofMillis(Long.parseLong(text))) : Optional.empty();
    }

    private void refuse(CallerRequest request, AnswerSink sink, ErrorKind kind, String reason, long version) {
        refuse(request, sink, kind, reason, version, Map.of());
    }

    private void refuse(
            CallerRequest request,
            AnswerSink sink,
            ErrorKind kind,
            String reason,
            long version,
            Map<String, Object> details) {
        String id = request.headers().get(context.names().requestId());
        context.metrics().recordRequest(kind.code(), System.nanoTime() - request.readAtNanos());
        Map<String, Object> fields = Fields.of(
                "request",
                id == null ? "" : id,
                "outcome",
                kind.code(),
                "reason",
                reason,
                "configurationVersion",
                version);
        fields.putAll(details);
        context.log().important("request-refused", fields);
        sink.fail(kind, reason, retryAfter(kind));
    }

    private static Optional<Duration> retryAfter(ErrorKind kind) {
        return switch (kind) {
            case STARTING -> Optional.of(STARTING_RETRY_AFTER);
            // Other VMs can serve the request at once.
            case STOPPING -> Optional.of(Duration.ZERO);
            default -> Optional.empty();
        };
    }
}
