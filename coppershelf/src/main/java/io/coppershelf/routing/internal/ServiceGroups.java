package io.coppershelf.routing.internal;

import io.coppershelf.admission.GroupName;
import io.coppershelf.ticket.Configuration;
import io.coppershelf.ticket.ServerSpec;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/** Caches the server groups of services until the configuration changes. Thread-safe. */
final class ServiceGroups {
    private final Configuration.Source source;
    private volatile Table table;

    ServiceGroups(Configuration.Source source) {
        this.source = source;
        this.table = new Table(source.current());
    }

    /** Returns the groups of the service, one for each data centre with servers of it. */
    List<GroupName> of(String service) {
        Configuration current = source.current();
        Table cached = table;
        if (cached.configuration != current) {
            cached = new Table(current);
            table = cached;
        }
        return cached.groups.computeIfAbsent(service, key -> groups(current, key));
    }

    private static List<GroupName> groups(Configuration configuration, String service) {
        return configuration.servers(service).stream()
                .map(ServerSpec::dataCentre)
                .distinct()
                .map(dataCentre -> new GroupName(service, dataCentre))
                .toList();
    }

    private static final class Table {
        private final Configuration configuration;
        private final ConcurrentMap<String, List<GroupName>> groups = new ConcurrentHashMap<>();

        Table(Configuration configuration) {
            this.configuration = configuration;
        }
    }
}
