package io.coppershelf.claim.internal;

import io.coppershelf.routing.InboundRequest;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * The first 128 bits of the SHA-256 digest of method, target and body of a request.
 *
 * @param high the first 64 bits
 * @param low the next 64 bits
 */
public record RequestDigest(long high, long low) {
    /** Returns the digest of the request. */
    public static RequestDigest of(InboundRequest request) {
        MessageDigest sha = sha256();
        sha.update(request.route().method().getBytes(StandardCharsets.UTF_8));
        sha.update((byte) 0);
        sha.update(request.target().getBytes(StandardCharsets.UTF_8));
        sha.update((byte) 0);
        ByteBuffer digest = ByteBuffer.wrap(sha.digest(request.body()));
        return new RequestDigest(digest.getLong(), digest.getLong());
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available in this Java runtime", e);
        }
    }
}
