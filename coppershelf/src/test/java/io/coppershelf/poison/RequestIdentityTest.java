package io.coppershelf.poison;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

final class RequestIdentityTest {
    private static final List<RequestFingerprint> REQUEST = fingerprints("10.0.0.1", "GET", "host", "/a?x=1", "body");

    @Test
    void sameRequestHasTheSameFingerprints() {
        assertThat(fingerprints("10.0.0.1", "GET", "host", "/a?x=1", "body")).isEqualTo(REQUEST);
    }

    @Test
    void requestWithAnotherQueryDiffersInTheMostSpecificFingerprintAlone() {
        List<RequestFingerprint> other = fingerprints("10.0.0.1", "GET", "host", "/a?x=2", "body");
        assertThat(other.get(0)).isNotEqualTo(REQUEST.get(0));
        assertThat(other.subList(1, 3)).isEqualTo(REQUEST.subList(1, 3));
    }

    @Test
    void requestOfAnotherCallerSharesTheLeastSpecificFingerprintAlone() {
        List<RequestFingerprint> other = fingerprints("10.0.0.2", "GET", "host", "/a?x=1", "body");
        assertThat(other.subList(0, 2)).containsNoneIn(REQUEST);
        assertThat(other.get(2)).isEqualTo(REQUEST.get(2));
    }

    @Test
    void requestWithAnotherMethodHostPathOrBodySharesNoFingerprint() {
        assertThat(fingerprints("10.0.0.1", "PUT", "host", "/a?x=1", "body")).containsNoneIn(REQUEST);
        assertThat(fingerprints("10.0.0.1", "GET", "other", "/a?x=1", "body")).containsNoneIn(REQUEST);
        assertThat(fingerprints("10.0.0.1", "GET", "host", "/b?x=1", "body")).containsNoneIn(REQUEST);
        assertThat(fingerprints("10.0.0.1", "GET", "host", "/a?x=1", "other")).containsNoneIn(REQUEST);
        assertThat(fingerprints("10.0.0.1", "GET", "host/", "a?x=1", "body")).containsNoneIn(REQUEST);
    }

    private static List<RequestFingerprint> fingerprints(
            String caller, String method, String host, String uri, String body) {
        return new RequestIdentity(caller, method, host, uri, body.getBytes(StandardCharsets.UTF_8)).fingerprints();
    }
}
