package io.coppershelf.backend.internal;

import com.google.common.flogger.FluentLogger;
import io.coppershelf.component.TimeSource;
import java.net.http.HttpClient;
import java.time.Duration;
import java.util.concurrent.Executor;

/**
 * Holds the HTTP client in use. After an answer that belongs to another attempt the client is replaced, so that none of
 * its pooled connections is used again.
 */
public final class HttpClientHolder {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final Duration MIN_REPLACE_INTERVAL = Duration.ofSeconds(1);

    private final Executor executor;
    private final TimeSource time;
    private HttpClient client;
    private long replacedNanos;

    /** Creates the holder; exchanges complete on the executor. */
    public HttpClientHolder(Executor executor, TimeSource time) {
        this.executor = executor;
        this.time = time;
        this.client = newClient();
        this.replacedNanos = time.nanos() - MIN_REPLACE_INTERVAL.toNanos();
    }

    /**
     * Sets the system properties that the JDK's client reads when its classes are loaded. They disable its automatic
     * retries: it must not send a request twice.
     */
    public static void applySystemProperties() {
        System.setProperty("jdk.httpclient.disableRetryConnect", "true");
        System.setProperty("jdk.httpclient.enableAllMethodRetry", "false");
        System.setProperty("jdk.httpclient.redirects.retrylimit", "1");
        System.setProperty("jdk.httpclient.keepalive.timeout", "3");
        System.setProperty("jdk.httpclient.connectionPoolSize", "0");
    }

    /** Returns the client in use. */
    synchronized HttpClient current() {
        return client;
    }

    /** Replaces the client with its pooled connections, at most once per interval. */
    synchronized void replace() {
        if (time.nanos() - replacedNanos < MIN_REPLACE_INTERVAL.toNanos()) {
            return;
        }
        replacedNanos = time.nanos();
        client = newClient();
        logger.atWarning().log("[backend] Replaced the HTTP client after an answer to another attempt.");
    }

    private HttpClient newClient() {
        return HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .followRedirects(HttpClient.Redirect.NEVER)
                .proxy(HttpClient.Builder.NO_PROXY)
                .connectTimeout(CONNECT_TIMEOUT)
                .executor(executor)
                .build();
    }
}
