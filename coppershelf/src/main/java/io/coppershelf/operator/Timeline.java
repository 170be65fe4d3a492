package io.coppershelf.operator;

import io.coppershelf.component.ComponentKey;
import java.util.Optional;

/** Records the events of this process for the timeline of the fleet. Thread-safe. */
public interface Timeline {
    ComponentKey<Timeline> NAME = ComponentKey.named("timeline", Timeline.class);

    /** Records an event. */
    void record(Event event);

    /**
     * An event without its time.
     *
     * @param component the component that reports it, such as {@code health}
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

        /** Returns a copy that concerns the given service. */
        public Event ofService(String name) {
            return new Event(component, text, Optional.of(name), server, request, ticket);
        }

        /** Returns a copy that concerns the given backend server. */
        public Event ofServer(String name) {
            return new Event(component, text, service, Optional.of(name), request, ticket);
        }

        /** Returns a copy that concerns the given request. */
        public Event ofRequest(String id) {
            return new Event(component, text, service, server, Optional.of(id), ticket);
        }

        /** Returns a copy that concerns the given ticket. */
        public Event ofTicket(long number) {
            return new Event(component, text, service, server, request, Optional.of(number));
        }
    }
}
