package io.coppershelf.proxy;

import io.coppershelf.outcome.Outcome;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/** The headers of requests that a VM hands to another one, and of the answers to them. */
final class RelayHeaders {
    /** The number of servers to which the receiver may send the request; in an answer, those that it sent it to. */
    static final String SERVERS = "Coppershelf-Relay-Servers";
    /** The IP address of the caller. */
    static final String CALLER = "Coppershelf-Relay-Caller";
    /** What the receiver answers with; set in each answer, so that no header of a server is taken for it. */
    static final String RESULT = "Coppershelf-Relay-Result";

    static final List<String> ALL = List.of(SERVERS, CALLER, RESULT);
    private static final int MAX_DIGITS = 4;

    /** What an answer to a relayed request holds. */
    enum Result {
        /** The answer of a server. */
        SERVER_ANSWER,
        /** An error of the receiver, which proves that the request has not run. */
        NOT_RUN,
        /** An error of the receiver after which the request may have run. */
        UNKNOWN;

        static Result of(Outcome outcome) {
            return outcome == Outcome.NOT_RUN ? NOT_RUN : UNKNOWN;
        }

        /** Returns the result that the headers state; unknown if they state none. */
        static Result of(HttpHeaders headers) {
            String value = headers.get(RESULT);
            for (Result result : values()) {
                if (result.name().equals(value)) {
                    return result;
                }
            }
            return UNKNOWN;
        }
    }

    private RelayHeaders() {}

    /** Returns the number of servers that the headers state, or else the given one. */
    static int servers(HttpHeaders headers, int otherwise) {
        String value = headers.get(SERVERS);
        boolean isNumber = value != null
                && !value.isEmpty()
                && value.length() <= MAX_DIGITS
                && value.chars().allMatch(Character::isDigit);
        return isNumber ? Integer.parseInt(value) : otherwise;
    }

    /** Removes the headers, which matter between two VMs only. */
    static void remove(HttpHeaders headers) {
        ALL.forEach(headers::remove);
    }
}
