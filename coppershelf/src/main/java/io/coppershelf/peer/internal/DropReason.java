package io.coppershelf.peer.internal;

import java.util.Locale;

/** Why a message or a connection was dropped; the label of the metric. */
enum DropReason {
    FRAME_TOO_LONG,
    TRUNCATED,
    GARBLED,
    UNKNOWN_TYPE,
    UNKNOWN_SENDER,
    WRONG_TARGET,
    OLD_INCARNATION,
    LATE_REPLY,
    HANDLER_FAILED,
    BACKLOG_FULL;

    String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
