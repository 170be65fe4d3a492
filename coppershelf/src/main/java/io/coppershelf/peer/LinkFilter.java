package io.coppershelf.peer;

import io.coppershelf.component.ComponentKey;

/**
 * Asked before each message is sent and when one is received; tests cut links with it, in one direction if they like.
 */
@FunctionalInterface
public interface LinkFilter {
    ComponentKey<LinkFilter> NAME = ComponentKey.named("link-filter", LinkFilter.class);

    /** The filter of the product: every message passes. */
    LinkFilter ALL = (from, to) -> true;

    /**
     * Returns whether a message passes; one that does not is lost without notice.
     *
     * @param from the id of the sending VM
     * @param to the id of the receiving VM, empty if the sender does not know it yet
     */
    boolean passes(String from, String to);
}
