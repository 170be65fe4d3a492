package io.coppershelf.operator;

import io.coppershelf.component.ComponentKey;
import java.util.Optional;

/** Takes the events of this process for the time line over all processes. Safe for use by several threads. */
public interface Timeline {
    ComponentKey<Timeline> NAME = ComponentKey.named("timeline", Timeline.class);

    /** Records an event. */
    void record(Event event);

    /**
     * An event, before it is given its time.
     *
     * @param component the part of the daemon that tells it, such as {@code health}
     * @param text a short sentence
     * @param service the service that it concerns
     * @param server the backend server that it concerns
     * @param request the request that it concerns
     * @param ticket the number of the ticket that it concerns
     */
    record Event(
            String component,
            String text,
            Optional<String> service,
            Optional<String> server,
            Optional<String> request,
            Optional<Long> ticket) {
        /** Returns an event that concerns the process as a whole. */
        public static Event of(String component, String text) {
            return new Event(component, text, Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty());
        }

        /** Returns the event, told of a service. */
        public Event ofService(String name) {
            return new Event(component, text, Optional.of(name), server, request, ticket);
        }

        /** Returns the event, told of a backend server. */
        public Event ofServer(String name) {
            return new Event(component, text, service, Optional.of(name), request, ticket);
        }

        /** Returns the event, told of a request. */
        public Event ofRequest(String id) {
            return new Event(component, text, service, server, Optional.of(id), ticket);
        }

        /** Returns the event, told of a ticket. */
        public Event ofTicket(long number) {
            return new Event(component, text, service, server, request, Optional.of(number));
        }
    }
}
