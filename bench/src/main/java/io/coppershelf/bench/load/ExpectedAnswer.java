package io.coppershelf.bench.load;

import java.nio.charset.StandardCharsets;

/** The answer that a piece of work must get, the same for the stand-ins that give it and the callers that check it. */
public final class ExpectedAnswer {
    private ExpectedAnswer() {}

    /** Returns the id of the work, repeated up to the length asked for. */
    public static byte[] of(String workId, int length) {
        byte[] pattern = (workId + "\n").getBytes(StandardCharsets.UTF_8);
        byte[] body = new byte[Math.max(length, pattern.length)];
        for (int i = 0; i < body.length; i++) {
            body[i] = pattern[i % pattern.length];
        }
        return body;
    }
}
