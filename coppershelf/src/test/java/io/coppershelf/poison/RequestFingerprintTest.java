package io.coppershelf.poison;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

final class RequestFingerprintTest {
    private static final RequestFingerprint POISON = fingerprint("10.0.0.1", "GET", "host", "/a", "body");

    @Test
    void sameRequestHasTheSameFingerprint() {
        assertThat(fingerprint("10.0.0.1", "GET", "host", "/a", "body")).isEqualTo(POISON);
    }

    @Test
    void requestWithAnotherCallerMethodHostPathOrBodyHasAnotherFingerprint() {
        assertThat(fingerprint("10.0.0.2", "GET", "host", "/a", "body")).isNotEqualTo(POISON);
        assertThat(fingerprint("10.0.0.1", "PUT", "host", "/a", "body")).isNotEqualTo(POISON);
        assertThat(fingerprint("10.0.0.1", "GET", "other", "/a", "body")).isNotEqualTo(POISON);
        assertThat(fingerprint("10.0.0.1", "GET", "host", "/a?x=1", "body")).isNotEqualTo(POISON);
        assertThat(fingerprint("10.0.0.1", "GET", "host", "/a", "other")).isNotEqualTo(POISON);
    }

    @Test
    void bytesThatMoveFromOnePartToTheNextChangeTheFingerprint() {
        assertThat(fingerprint("10.0.0.1", "GET", "host/", "a", "body")).isNotEqualTo(POISON);
    }

    private static RequestFingerprint fingerprint(String caller, String method, String host, String path, String body) {
        long head = RequestFingerprint.headOf(caller, method, host, path);
        return RequestFingerprint.of(head, body.getBytes(StandardCharsets.UTF_8));
    }
}
