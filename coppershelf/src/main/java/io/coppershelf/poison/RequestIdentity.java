package io.coppershelf.poison;

import java.util.List;

/**
 * The fingerprints of one request, from the most to the least specific: with caller and query, with the caller alone,
 * and with neither. A request that crashes servers may come with other queries, or through other addresses, each time.
 */
public final class RequestIdentity {
    private final String caller;
    private final String method;
    private final String host;
    private final String uri;
    private final byte[] body;
    private List<Long> heads = List.of();
    private List<RequestFingerprint> fingerprints = List.of();

    /**
     * Creates the identity; hashes are computed when they are needed.
     *
     * @param caller the IP address of the caller
     * @param uri path and query
     */
    public RequestIdentity(String caller, String method, String host, String uri, byte[] body) {
        this.caller = caller;
        this.method = method;
        this.host = host;
        this.uri = uri;
        this.body = body;
    }

    /** Returns the hashes of the head, from the most to the least specific. */
    List<Long> heads() {
        if (heads.isEmpty()) {
            int query = uri.indexOf('?');
            String path = query < 0 ? uri : uri.substring(0, query);
            heads = List.of(
                    RequestFingerprint.headOf(method, host, path, uri, caller),
                    RequestFingerprint.headOf(method, host, path, caller),
                    RequestFingerprint.headOf(method, host, path));
        }
        return heads;
    }

    /** Returns the fingerprints, from the most to the least specific. */
    public List<RequestFingerprint> fingerprints() {
        if (fingerprints.isEmpty()) {
            long bodyHash = RequestFingerprint.bodyOf(body);
            fingerprints = heads().stream()
                    .map(head -> new RequestFingerprint(head, bodyHash))
                    .toList();
        }
        return fingerprints;
    }

    /** Returns the most specific fingerprint. */
    public RequestFingerprint mostSpecific() {
        return fingerprints().get(0);
    }
}
