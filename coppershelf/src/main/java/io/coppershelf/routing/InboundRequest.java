package io.coppershelf.routing;

import io.coppershelf.backend.BackendRequest.Header;
import io.coppershelf.ticket.RouteSpec;
import java.util.List;
import java.util.Optional;

/**
 * A whole request of a caller, read and checked.
 *
 * @param id unique over the fleet
 * @param route the route that it matched
 * @param target the path and query
 * @param headers the caller's headers that go on, without hop-by-hop ones and ours
 * @param body the whole body
 * @param idempotencyKey the caller's key
 * @param deadlineNanos the monotonic time by which the answer must be out
 */
public record InboundRequest(
        String id,
        RouteSpec route,
        String target,
        List<Header> headers,
        byte[] body,
        Optional<String> idempotencyKey,
        long deadlineNanos) {}
