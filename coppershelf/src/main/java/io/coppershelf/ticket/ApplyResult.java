package io.coppershelf.ticket;

import java.util.List;

/**
 * What became of a ticket, or of a single object version, that was handed to a {@link ConfigurationStore}.
 *
 * @param changed the objects whose state in force changed
 * @param conflict whether another content was seen under the same number; operators must be alarmed
 */
public record ApplyResult(List<ObjectKey> changed, boolean conflict) {
    public ApplyResult {
        changed = List.copyOf(changed);
    }

    /** Returns whether nothing was new. */
    public boolean hasNoEffect() {
        return changed.isEmpty() && !conflict;
    }
}
