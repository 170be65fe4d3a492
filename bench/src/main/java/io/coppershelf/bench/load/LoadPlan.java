package io.coppershelf.bench.load;

import io.coppershelf.ticket.RouteSpec;
import java.net.URI;
import java.time.Duration;
import java.util.List;

/**
 * What the load generator sends.
 *
 * @param name the prefix of the work ids, unique over the life of the stand-ins
 * @param targets the base addresses, used in turn
 * @param routes the request kinds, drawn evenly
 * @param requestsPerSecond the rate, kept whatever the answers
 * @param duration how long requests are sent
 * @param meanWork the mean service time
 * @param answerBytes the length of the answers
 * @param seed the seed of the random numbers
 */
public record LoadPlan(
        String name,
        List<URI> targets,
        List<RouteSpec> routes,
        double requestsPerSecond,
        Duration duration,
        Duration meanWork,
        int answerBytes,
        long seed) {}
