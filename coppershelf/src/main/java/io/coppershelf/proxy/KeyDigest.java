package io.coppershelf.proxy;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Stands for an API key in the log: operators can compare it with that of a key, which it does not reveal. */
final class KeyDigest {
    private static final int BYTES = 4;

    private KeyDigest() {}

    /** Returns the first 8 hexadecimal digits of the SHA-256 digest of the key's bytes. */
    static String of(String key) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.ISO_8859_1));
            return HexFormat.of().formatHex(digest, 0, BYTES);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
