package io.coppershelf.peer;

import io.coppershelf.component.ComponentKey;

/**
 * Decides whether a message passes, before it is sent and when it is received. Tests and the bench use it to cut links,
 * also in one direction only.
 */
@FunctionalInterface
public interface LinkFilter {
    ComponentKey<LinkFilter> NAME = ComponentKey.named("link-filter", LinkFilter.class);

    /** The filter in production: every message passes. */
    LinkFilter ALL = (from, to) -> true;

    /**
     * Returns whether a message passes; one that does not is dropped silently.
     *
     * @param from the id of the sending VM
     * @param to the id of the receiving VM, empty if the sender does not know it yet
     */
    boolean passes(String from, String to);
}
