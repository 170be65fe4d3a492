package io.coppershelf.routing;

import io.coppershelf.backend.BackendRequest.Header;
import io.coppershelf.ticket.RouteSpec;
import java.util.List;
import java.util.Optional;

/**
 * A complete request of a caller that was read and validated.
 *
 * @param id the id of the request, unique in the fleet
 * @param route the matched route
 * @param target the path and query
 * @param headers the caller's headers to forward, without hop-by-hop and Coppershelf headers
 * @param body the complete body
 * @param idempotencyKey the idempotency key of the caller
 * @param deadlineNanos the monotonic time by which the answer must be sent
 */
public record InboundRequest(
        String id,
        RouteSpec route,
        String target,
        List<Header> headers,
        byte[] body,
        Optional<String> idempotencyKey,
        long deadlineNanos) {}
