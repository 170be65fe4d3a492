package io.coppershelf.testing;

import io.coppershelf.proxy.HeaderNames;

/** The names of the headers in tests of the gateway. */
public final class TestHeaders {
    public static final HeaderNames NAMES = new HeaderNames(
            "Request-Id",
            "Deadline",
            "Target",
            "Signature",
            "Not-Run",
            "Leaving",
            "Limit",
            "Load",
            "Api-Key",
            "Customer");

    private TestHeaders() {}
}
