package io.coppershelf.peer.internal;

import com.google.common.base.CharMatcher;
import com.google.common.flogger.FluentLogger;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;

/** Counts the messages that the exchange sends, receives and drops. */
public final class PeerMetrics {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private static final CharMatcher PRINTABLE = CharMatcher.inRange(' ', '~');
    private static final int MAX_LOGGED_CHARACTERS = 200;

    private final Counter messages;
    private final Counter bytes;
    private final Counter dropped;

    /** Creates the metrics in the registry. */
    public PeerMetrics(PrometheusRegistry registry) {
        messages = Counter.builder()
                .name("coppershelf_peer_messages_total")
                .help("Messages exchanged with peers.")
                .labelNames("direction")
                .register(registry);
        bytes = Counter.builder()
                .name("coppershelf_peer_bytes_total")
                .help("Bytes of the frames exchanged with peers.")
                .labelNames("direction")
                .register(registry);
        dropped = Counter.builder()
                .name("coppershelf_peer_dropped_total")
                .help("Messages and connections of peers that were dropped.")
                .labelNames("reason")
                .register(registry);
    }

    void registerConnectionGauge(PrometheusRegistry registry, IntSupplier count) {
        GaugeWithCallback.builder()
                .name("coppershelf_peer_connections")
                .help("Open connections to and from peers.")
                .callback(callback -> callback.call(count.getAsInt()))
                .register(registry);
    }

    void sent(int size) {
        messages.labelValues("sent").inc();
        bytes.labelValues("sent").inc(size);
    }

    void received(int size) {
        messages.labelValues("received").inc();
        bytes.labelValues("received").inc(size);
    }

    /** Counts a drop, and logs at most one a minute for each reason. */
    void dropped(DropReason reason, String peer, String detail) {
        dropped.labelValues(reason.label()).inc();
        logger.atWarning()
                .per(reason)
                .atMostEvery(1, TimeUnit.MINUTES)
                .log("[peer] Dropped a message of %s: %s, %s.", printable(peer), reason.label(), printable(detail));
    }

    /** Removes unprintable characters and limits the length, so that text from a peer can't break or flood the log. */
    private static String printable(String text) {
        return PRINTABLE.retainFrom(text.substring(0, Math.min(text.length(), MAX_LOGGED_CHARACTERS)));
    }
}
