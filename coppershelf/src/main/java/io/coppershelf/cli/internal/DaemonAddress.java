package io.coppershelf.cli.internal;

import com.google.common.net.HostAndPort;
import java.net.URI;
import java.util.Arrays;
import java.util.List;

/**
 * The operator address of a daemon.
 *
 * @param host its IP address
 * @param port its operator port
 */
public record DaemonAddress(String host, int port) {
    /**
     * Parses an address of the form {@code HOST:PORT}.
     *
     * @throws IllegalArgumentException if the text has another form
     */
    public static DaemonAddress parse(String text) {
        try {
            HostAndPort hostAndPort = HostAndPort.fromString(text.strip());
            return new DaemonAddress(hostAndPort.getHost(), hostAndPort.getPort());
        } catch (IllegalArgumentException | IllegalStateException e) {
            throw new IllegalArgumentException("address must be HOST:PORT, but is \"" + text + "\"", e);
        }
    }

    /**
     * Parses addresses that are separated by commas.
     *
     * @throws IllegalArgumentException if one of them has another form
     */
    public static List<DaemonAddress> parseList(String text) {
        return Arrays.stream(text.split(",", -1))
                .map(DaemonAddress::parse)
                .distinct()
                .toList();
    }

    /** Returns the URI of a page. */
    URI page(String path) {
        return URI.create("http://" + HostAndPort.fromParts(host, port) + path);
    }

    @Override
    public String toString() {
        return HostAndPort.fromParts(host, port).toString();
    }
}
