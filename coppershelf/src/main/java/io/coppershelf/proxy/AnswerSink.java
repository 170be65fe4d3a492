package io.coppershelf.proxy;

import io.coppershelf.http.HttpAnswer;
import io.coppershelf.outcome.ErrorKind;
import java.time.Duration;
import java.util.Optional;

/** Takes the one answer to a request of a caller. */
interface AnswerSink {
    /** Passes on the answer of a server. */
    void deliver(HttpAnswer answer);

    /** Answers with an error of this VM. */
    void fail(ErrorKind kind, String reason, Optional<Duration> retryAfter);
}
