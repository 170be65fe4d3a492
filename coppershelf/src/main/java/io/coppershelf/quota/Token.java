package io.coppershelf.quota;

import java.net.InetSocketAddress;

/**
 * The permission to send one request of a tenant.
 *
 * @param granter the VM that granted it
 * @param takenNanos the time at which the request took it
 * @param expiresNanos the time from which it must not be used
 */
public record Token(String tenant, InetSocketAddress granter, long takenNanos, long expiresNanos) {
    /** Returns whether a request may no longer be sent with it. */
    public boolean isExpired(long nowNanos) {
        return nowNanos - expiresNanos >= 0;
    }
}
