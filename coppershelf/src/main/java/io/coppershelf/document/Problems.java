package io.coppershelf.document;

import io.coppershelf.outcome.CoppershelfException;
import io.coppershelf.outcome.ErrorKind;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.stream.Collectors;

/**
 * Collects the problems of one document, so that all of them can be reported at once.
 *
 * <pre>{@code
 * Problems problems = new Problems();
 * problems.add("/callerPort", "must differ from /peerPort");
 * problems.throwIfAny(ErrorKind.INVALID_SETTINGS, "settings are not valid");
 * }</pre>
 */
public final class Problems {
    private final List<Problem> found = new ArrayList<>();

    /** Adds a problem. */
    public void add(String path, String message) {
        found.add(new Problem(path, message));
    }

    /** Adds several problems. */
    public void addAll(Collection<Problem> problems) {
        found.addAll(problems);
    }

    /** Returns whether no problem has been added. */
    public boolean isEmpty() {
        return found.isEmpty();
    }

    /** Returns the problems in the order in which they were added. */
    public List<Problem> list() {
        return List.copyOf(found);
    }

    /**
     * Throws an exception that lists all problems, if there are any.
     *
     * @param kind the error kind of the exception
     * @param title the first line of its message; each problem follows on a line of its own
     * @throws CoppershelfException of the given kind if there is at least one problem
     */
    public void throwIfAny(ErrorKind kind, String title) {
        if (found.isEmpty()) {
            return;
        }
        String lines = found.stream().map(problem -> "\n  " + problem).collect(Collectors.joining());
        throw CoppershelfException.of(kind, title + lines);
    }
}
