package io.coppershelf.admission.internal.runtime;

import com.google.common.flogger.FluentLogger;
import io.coppershelf.admission.AttemptRequest;
import io.coppershelf.admission.AttemptResult;
import io.coppershelf.admission.AttemptSender.AttemptExchange;
import io.coppershelf.admission.GroupEvent;
import io.coppershelf.admission.GroupName;
import io.coppershelf.admission.OwnerLookup;
import io.coppershelf.outcome.ErrorKind;
import io.coppershelf.ticket.Configuration;
import io.coppershelf.ticket.ServerSpec;
import io.coppershelf.ticket.ServiceSpec;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * The server groups that this VM serves. A group is created when it is first needed, and removed when this VM may no
 * longer serve it and no attempt is in flight. Thread-safe.
 */
final class LocalGroups {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    /**
     * With at most this many services, their groups are created before the first request; ranking the owners of more
     * would cost too much.
     */
    private static final int MAX_PRECREATED_SERVICES = 100;

    private final Configuration.Source configuration;
    private final OwnerLookup ownerLookup;
    private final Function<GroupName, GroupRuntime> factory;
    private final ConcurrentMap<GroupName, GroupRuntime> groups = new ConcurrentHashMap<>();
    private volatile boolean isStopping;

    LocalGroups(
            Configuration.Source configuration, OwnerLookup ownerLookup, Function<GroupName, GroupRuntime> factory) {
        this.configuration = configuration;
        this.ownerLookup = ownerLookup;
        this.factory = factory;
    }

    /** Accepts an attempt, or refuses it as not run if this VM may not serve its group. */
    AttemptExchange submit(AttemptRequest request) {
        if (isStopping) {
            return refused(ErrorKind.STOPPING);
        }
        if (!ownerLookup.isServedHere(request.group())) {
            return refused(ErrorKind.OWNER_UNREACHABLE);
        }
        return group(request.group())
                .map(runtime -> runtime.submit(request))
                .orElseGet(() -> refused(ErrorKind.NO_SERVER));
    }

    private static AttemptExchange refused(ErrorKind error) {
        return new EndedAttempt(CompletableFuture.completedFuture(AttemptResult.failed(error)));
    }

    /** Returns the group, created if needed; empty if the configuration has no server for it. */
    Optional<GroupRuntime> group(GroupName name) {
        GroupRuntime existing = groups.get(name);
        if (existing != null) {
            return Optional.of(existing);
        }
        Optional<ServiceSpec> service = configuration.current().service(name.service());
        List<ServerSpec> servers = servers(name);
        if (service.isEmpty() || servers.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(groups.computeIfAbsent(name, key -> newGroup(key, service.get(), servers)));
    }

    private GroupRuntime newGroup(GroupName name, ServiceSpec service, List<ServerSpec> servers) {
        GroupRuntime runtime = factory.apply(name);
        runtime.configure(service, servers);
        logger.atInfo().log(
                "[admission] Serving %s in %s with %s servers.", name.service(), name.dataCentre(), servers.size());
        return runtime;
    }

    private List<ServerSpec> servers(GroupName name) {
        return configuration.current().servers(name.service()).stream()
                .filter(server -> server.dataCentre().equals(name.dataCentre()))
                .toList();
    }

    /** Applies a change of the configuration or of the fleet; called on the control thread. */
    void refresh() {
        groups.values().forEach(this::refresh);
        List<ServiceSpec> services = configuration.current().services();
        if (services.size() <= MAX_PRECREATED_SERVICES) {
            services.forEach(service -> createServed(service.name()));
        }
    }

    private void refresh(GroupRuntime runtime) {
        Optional<ServiceSpec> service =
                configuration.current().service(runtime.name().service());
        boolean isServed = service.isPresent() && ownerLookup.isServedHere(runtime.name());
        if (!isServed && runtime.inFlight() == 0) {
            groups.remove(runtime.name());
            return;
        }
        service.ifPresent(spec -> runtime.configure(spec, servers(runtime.name())));
    }

    private void createServed(String service) {
        Map<String, Long> dataCentres = configuration.current().servers(service).stream()
                .collect(Collectors.groupingBy(ServerSpec::dataCentre, Collectors.counting()));
        dataCentres.keySet().stream()
                .map(dataCentre -> new GroupName(service, dataCentre))
                .filter(ownerLookup::isServedHere)
                .forEach(this::group);
    }

    /** Sends a tick to all groups. */
    void tick() {
        groups.values().forEach(runtime -> runtime.on(new GroupEvent.Tick()));
    }

    /** Returns the groups that this VM serves now. */
    List<GroupRuntime> all() {
        return List.copyOf(groups.values());
    }

    /** Refuses new attempts from now on. */
    void beginStop() {
        isStopping = true;
    }

    /** Returns the number of attempts that have not ended. */
    int inFlight() {
        return groups.values().stream().mapToInt(GroupRuntime::inFlight).sum();
    }

    /** An attempt that has already ended. */
    private record EndedAttempt(CompletableFuture<AttemptResult> result) implements AttemptExchange {
        @Override
        public void cancel() {}
    }
}
