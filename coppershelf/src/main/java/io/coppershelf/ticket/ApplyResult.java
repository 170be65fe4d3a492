package io.coppershelf.ticket;

import java.util.List;

/**
 * The result of applying a ticket, or a single object version, to a {@link ConfigurationStore}.
 *
 * @param changed the objects whose state in force changed
 * @param conflict whether another content was seen under the same number; operators must be alerted
 */
public record ApplyResult(List<ObjectKey> changed, boolean conflict) {
    public ApplyResult {
        changed = List.copyOf(changed);
    }

    /** Returns whether nothing changed and no conflict was found. */
    public boolean hasNoEffect() {
        return changed.isEmpty() && !conflict;
    }
}
