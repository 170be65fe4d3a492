package io.coppershelf.bench.load;

import java.nio.charset.StandardCharsets;

/** The expected answer to a work item, shared by the stand-ins that send it and the callers that check it. */
public final class ExpectedAnswer {
    private ExpectedAnswer() {}

    /** Returns the id of the work item, repeated up to the requested length, but at least once. */
    public static byte[] of(String workId, int length) {
        byte[] pattern = (workId + "\n").getBytes(StandardCharsets.UTF_8);
        byte[] body = new byte[Math.max(length, pattern.length)];
        for (int i = 0; i < body.length; i++) {
            body[i] = pattern[i % pattern.length];
        }
        return body;
    }
}
