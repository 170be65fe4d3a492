package io.coppershelf.quota;

import java.net.InetSocketAddress;

/** What a decision requires of its caller. */
public sealed interface QuotaAction {
    /** Sends a message to another VM; it may be lost. */
    record Send(InetSocketAddress receiver, QuotaMessage message) implements QuotaAction {}

    /** Asks another VM for a message that every build answers. */
    record RequestContact(InetSocketAddress receiver) implements QuotaAction {}

    /** Admits a waiting request. */
    record Admit(long requestNumber, Token token) implements QuotaAction {}

    /** Refuses a waiting request. */
    record Refuse(long requestNumber, Refusal refusal) implements QuotaAction {}
}
