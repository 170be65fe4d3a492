package io.coppershelf.cli.internal;

import io.coppershelf.operator.Timeline;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Chooses events of the time line; an empty text or a zero chooses all.
 *
 * @param service the service that an event must concern
 * @param server the backend server that an event must concern
 * @param request the request that an event must concern
 * @param ticket the ticket that an event must concern
 */
public record EventFilter(String service, String server, String request, long ticket)
        implements Predicate<Timeline.Event> {
    @Override
    public boolean test(Timeline.Event event) {
        return isChosen(service, event.service())
                && isChosen(server, event.server())
                && isChosen(request, event.request())
                && (ticket == 0 || event.ticket().equals(Optional.of(ticket)));
    }

    private static boolean isChosen(String wanted, Optional<String> found) {
        return wanted.isEmpty() || found.equals(Optional.of(wanted));
    }
}
