package io.coppershelf.poison;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.List;

/**
 * Identifies requests of one caller with the same method, host, path and body. Two parts, since the body may be large
 * and needs to be hashed only if the head is that of a recorded request.
 *
 * @param head the hash of caller, method, host and path
 * @param body the hash of the body
 */
public record RequestFingerprint(long head, long body) {
    /** Returns the hash of the parts of a request's head that identify it. */
    public static long headOf(String caller, String method, String host, String path) {
        MessageDigest digest = sha256();
        for (String part : List.of(caller, method, host, path)) {
            byte[] bytes = part.getBytes(StandardCharsets.UTF_8);
            // The lengths keep parts of other requests from adding up to the same bytes.
            digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(0, bytes.length));
            digest.update(bytes);
        }
        return first64Bits(digest);
    }

    /** Returns the fingerprint of a request with this head. */
    public static RequestFingerprint of(long head, byte[] body) {
        MessageDigest digest = sha256();
        digest.update(body);
        return new RequestFingerprint(head, first64Bits(digest));
    }

    private static long first64Bits(MessageDigest digest) {
        return ByteBuffer.wrap(digest.digest()).getLong();
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("each Java platform has SHA-256", e);
        }
    }

    /** Returns the fingerprint as hexadecimal digits. */
    @Override
    public String toString() {
        return Long.toHexString(head) + '-' + Long.toHexString(body);
    }
}
