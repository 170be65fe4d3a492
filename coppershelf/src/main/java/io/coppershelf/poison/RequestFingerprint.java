package io.coppershelf.poison;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * Identifies requests that are the same in some parts. Two hashes, since a body may be large and needs to be hashed
 * only if the head is on record.
 *
 * @param head the hash of the parts of the head
 * @param body the hash of the body
 */
public record RequestFingerprint(long head, long body) {
    /** Returns the hash of parts of the head. */
    static long headOf(String... parts) {
        MessageDigest digest = sha256();
        for (String part : parts) {
            byte[] bytes = part.getBytes(StandardCharsets.UTF_8);
            // The lengths keep parts of other requests from adding up to the same bytes.
            digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(0, bytes.length));
            digest.update(bytes);
        }
        return first64Bits(digest);
    }

    /** Returns the hash of a body. */
    static long bodyOf(byte[] body) {
        MessageDigest digest = sha256();
        digest.update(body);
        return first64Bits(digest);
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
