package io.coppershelf.ticket;

/** The complete state of one configured object. */
public sealed interface ObjectSpec permits ServiceSpec, ServerSpec, RouteSpec {
    /** Returns the identity of the object. */
    ObjectKey key();
}
