package io.coppershelf.bench.load;

import io.coppershelf.ticket.RouteSpec;
import java.net.URI;
import java.time.Duration;
import java.util.List;

/**
 * The load that the load generator sends.
 *
 * @param name the prefix of the work ids, unique during the lifetime of the stand-ins
 * @param targets the base URIs, used in round-robin order
 * @param routes the request kinds, chosen uniformly at random
 * @param requestsPerSecond the send rate, independent of the answers
 * @param duration how long requests are sent
 * @param meanWork the mean service time; each call draws its own from an exponential distribution
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
