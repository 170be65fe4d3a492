package io.coppershelf.ticket;

import io.coppershelf.document.Problem;
import io.coppershelf.document.Problems;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks a complete configuration for problems that no single ticket can show: unknown services, floors that can't be
 * met, routes that match the same requests. A configuration with such problems comes into force all the same.
 */
public final class ConfigurationReview {
    private final Configuration configuration;
    private final Problems problems = new Problems();

    private ConfigurationReview(Configuration configuration) {
        this.configuration = configuration;
    }

    /** Returns the problems of the configuration. */
    public static List<Problem> of(Configuration configuration) {
        ConfigurationReview review = new ConfigurationReview(configuration);
        configuration.services().forEach(review::reviewFloor);
        configuration.unused().forEach(review::reviewService);
        review.reviewRoutes();
        return review.problems.list();
    }

    private void reviewFloor(ServiceSpec service) {
        int servers = configuration.servers(service.name()).size();
        if (service.floor() > servers) {
            problems.add(
                    "/services/" + service.name() + "/floor",
                    "must be at most the number of servers, " + servers + ", but is " + service.floor());
        }
    }

    private void reviewService(ObjectSpec spec) {
        if (spec instanceof ServerSpec server) {
            addUnknownService("/servers/" + server.name(), server.service());
        }
        if (spec instanceof RouteSpec route) {
            addUnknownService("/routes/" + route.name(), route.service());
        }
    }

    private void addUnknownService(String path, String service) {
        problems.add(path + "/service", "must be a known service, but is \"" + service + "\"");
    }

    private void reviewRoutes() {
        Map<String, String> namesByMatch = new HashMap<>();
        for (RouteSpec route : configuration.routes()) {
            String match = route.method() + " " + route.path();
            String otherName = namesByMatch.putIfAbsent(match, route.name());
            if (otherName != null) {
                problems.add(
                        "/routes/" + route.name(), "must not match " + match + ", which " + otherName + " matches");
            }
        }
    }
}
