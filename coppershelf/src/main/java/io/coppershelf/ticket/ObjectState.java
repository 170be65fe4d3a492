package io.coppershelf.ticket;

import java.util.Optional;

/**
 * The state that one ticket gives to one object.
 *
 * @param key the object
 * @param spec its complete state, empty if the ticket removes it
 */
public record ObjectState(ObjectKey key, Optional<ObjectSpec> spec) {
    /** Returns the state of an object that exists. */
    public static ObjectState present(ObjectSpec spec) {
        return new ObjectState(spec.key(), Optional.of(spec));
    }

    /** Returns the state of an object that is removed. */
    public static ObjectState removed(ObjectKey key) {
        return new ObjectState(key, Optional.empty());
    }
}
