package io.coppershelf.cli.internal;

import io.coppershelf.operator.Timeline;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Selects events of the timeline; an empty text or zero selects all.
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
        return matches(service, event.service())
                && matches(server, event.server())
                && matches(request, event.request())
                && (ticket == 0 || event.ticket().equals(Optional.of(ticket)));
    }

    private static boolean matches(String required, Optional<String> actual) {
        return required.isEmpty() || actual.equals(Optional.of(required));
    }
}
