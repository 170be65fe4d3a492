package io.coppershelf.proxy;

import io.coppershelf.http.HttpAnswer;
import io.coppershelf.outcome.ErrorKind;
import java.time.Duration;
import java.util.Optional;

/** Receives the single answer to a request of a caller. */
interface AnswerSink {
    /** Forwards the answer of a server. */
    void deliver(HttpAnswer answer);

    /** Answers with an error that this VM generates. */
    void fail(ErrorKind kind, String reason, Optional<Duration> retryAfter);
}
