package io.coppershelf.overload;

import java.time.Duration;
import java.util.Optional;

/**
 * The ages of the inputs of the fill of a service, each empty if there is no such input.
 *
 * @param counts the time since the last counts of the servers that this VM receives all counts of
 * @param summaries the time since the oldest summary of another data centre
 * @param answers the time since the last answer of a server to this VM
 */
public record InputAges(Optional<Duration> counts, Optional<Duration> summaries, Optional<Duration> answers) {
    /** Returns the ages in milliseconds, with a dash for a missing input. */
    @Override
    public String toString() {
        return "counts " + text(counts) + ", summaries " + text(summaries) + ", answers " + text(answers);
    }

    private static String text(Optional<Duration> age) {
        return age.map(known -> known.toMillis() + " ms").orElse("-");
    }
}
