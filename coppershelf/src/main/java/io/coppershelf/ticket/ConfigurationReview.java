package io.coppershelf.ticket;

import io.coppershelf.document.Problem;
import io.coppershelf.document.Problems;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Looks over a whole configuration for what no single ticket can show: unknown services, floors that can't be held,
 * routes that hide each other. Such a configuration is in force all the same.
 */
public final class ConfigurationReview {
    private final ConfigurationStore store;
    private final Configuration configuration;
    private final Problems problems = new Problems();
    private final Map<String, String> routesByMatch = new HashMap<>();

    private ConfigurationReview(ConfigurationStore store) {
        this.store = store;
        this.configuration = store.snapshot();
    }

    /** Returns what is wrong with the configuration that the store holds. */
    public static List<Problem> of(ConfigurationStore store) {
        ConfigurationReview review = new ConfigurationReview(store);
        review.run();
        return review.problems.list();
    }

    private void run() {
        configuration.services().forEach(this::reviewFloor);
        for (int bucket = 0; bucket < ConfigurationStore.BUCKETS; bucket++) {
            store.versions(bucket).forEach(version -> version.state().spec().ifPresent(this::reviewService));
        }
        configuration.routes().forEach(this::reviewMatch);
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
        Optional<String> service = serviceOf(spec);
        if (service.isPresent() && configuration.service(service.get()).isEmpty()) {
            String section = spec instanceof ServerSpec ? "servers" : "routes";
            problems.add(
                    "/" + section + "/" + spec.key().name() + "/service",
                    "must be a known service, but is \"" + service.get() + "\"");
        }
    }

    private void reviewMatch(RouteSpec route) {
        String match = route.method() + " " + route.path();
        String other = routesByMatch.putIfAbsent(match, route.name());
        if (other != null) {
            problems.add("/routes/" + route.name(), "must not match " + match + ", which " + other + " matches");
        }
    }

    private static Optional<String> serviceOf(ObjectSpec spec) {
        if (spec instanceof ServerSpec server) {
            return Optional.of(server.service());
        }
        return spec instanceof RouteSpec route ? Optional.of(route.service()) : Optional.empty();
    }
}
