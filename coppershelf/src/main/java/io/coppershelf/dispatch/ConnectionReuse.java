package io.coppershelf.dispatch;

import io.coppershelf.catalog.RequestKind;

/** For how long a connection to a server may be idle before a request is sent over it. */
@FunctionalInterface
public interface ConnectionReuse {
    /** Returns the longest idle time for requests of a kind, in nanoseconds. */
    long maxIdleNanos(RequestKind kind);
}
