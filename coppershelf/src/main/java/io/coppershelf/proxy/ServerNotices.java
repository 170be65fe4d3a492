package io.coppershelf.proxy;

import io.coppershelf.catalog.BackendServer;
import io.coppershelf.dispatch.ServerStats;
import io.coppershelf.eventlog.Fields;
import io.coppershelf.http.DecimalHeader;
import io.coppershelf.http.HttpAnswer;
import io.coppershelf.http.RetryAfter;
import java.time.Duration;
import java.util.Optional;

/** Records what a server states about itself in an answer: its load, that it leaves, wants a pause, or has a limit. */
final class ServerNotices {
    private static final int STATUS_UNAVAILABLE = 503;

    private static final int FIRST_SERVER_ERROR = 500;

    private final TrafficContext context;
    private final BackendServer server;
    private final ServerStats stats;

    ServerNotices(TrafficContext context, BackendServer server, ServerStats stats) {
        this.context = context;
        this.server = server;
        this.stats = stats;
    }

    /** Records what the answer states; returns whether the server requests a pause with a refusal. */
    boolean record(HttpAnswer answer) {
        recordLoad(answer);
        if (answer.headers().contains(context.names().leaving())) {
            context.state().serverLeaving(server);
        }
        recordLimit(answer);
        return recordPause(answer);
    }

    private void recordLoad(HttpAnswer answer) {
        String header = answer.headers().get(context.names().load());
        if (header == null) {
            return;
        }
        String[] parts = header.split(",", -1);
        try {
            int load = Integer.parseInt(parts[0].trim()) + Integer.parseInt(parts[1].trim());
            long now = System.nanoTime();
            stats.recordReportedLoad(load, now);
            boolean isFailure = answer.status() >= FIRST_SERVER_ERROR;
            context.admission().recordLoad(server, load, isFailure, now);
        } catch (NumberFormatException | ArrayIndexOutOfBoundsException e) {
            logUnreadable("load-unreadable", header);
        }
    }

    /**
     * Records the limit. Only a signed answer without a limit ends one, since a refusal may come from the server's
     * queue.
     */
    private void recordLimit(HttpAnswer answer) {
        String header = answer.headers().get(context.names().limit());
        if (header == null) {
            if (answer.headers().contains(context.names().signature())) {
                recordLimit(Optional.empty());
            }
            return;
        }
        Optional<Double> perSecond = DecimalHeader.parse(header);
        if (perSecond.isPresent()) {
            recordLimit(perSecond);
        } else {
            logUnreadable("limit-unreadable", header);
        }
    }

    private void recordLimit(Optional<Double> perSecond) {
        if (context.chooser().recordLimit(server, perSecond, System.nanoTime())) {
            context.state().reports().serverLimited(server, perSecond);
        }
    }

    private boolean recordPause(HttpAnswer answer) {
        if (answer.status() != STATUS_UNAVAILABLE) {
            return false;
        }
        Optional<Duration> pause = RetryAfter.parse(answer.headers());
        pause.ifPresent(requested -> stats.recordPause(requested.toNanos(), System.nanoTime()));
        return pause.isPresent();
    }

    private void logUnreadable(String event, String value) {
        context.log().routine(event, Fields.of("server", server.id(), "value", value));
    }
}
