package io.coppershelf.ticket;

/** The types of configured objects. */
public enum ObjectType {
    SERVICE,
    SERVER,
    ROUTE
}
