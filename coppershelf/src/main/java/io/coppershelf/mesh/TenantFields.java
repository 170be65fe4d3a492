package io.coppershelf.mesh;

import io.coppershelf.catalog.FleetConfiguration;
import io.coppershelf.catalog.Route;
import io.coppershelf.catalog.RouteTable;
import io.coppershelf.catalog.Tenant;
import io.coppershelf.catalog.TenantTable;
import io.coppershelf.catalog.UsageCap;
import io.coppershelf.peer.MessageFields;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes and decodes what a configuration with tenants adds to a snapshot: a map by field name behind the other
 * fields. Builds without tenants do not read that far, and fields with an unknown name are skipped.
 */
final class TenantFields {
    private static final String TENANTS = "tenants";
    private static final String PUBLIC_ROUTES = "publicRoutes";

    private TenantFields() {}

    static void write(MessagePacker packer, FleetConfiguration configuration) throws IOException {
        Map<Tenant, Set<String>> keysByTenant =
                configuration.tenants().orElseThrow().keysByTenant();
        packer.packMapHeader(2);
        packer.packString(TENANTS);
        MessageFields.writeList(packer, keysByTenant.entrySet(), TenantFields::writeTenant);
        packer.packString(PUBLIC_ROUTES);
        List<String> publicRoutes = configuration.routes().all().stream()
                .filter(Route::isPublic)
                .map(Route::name)
                .toList();
        MessageFields.writeList(packer, publicRoutes, MessagePacker::packString);
    }

    /** Returns the configuration with the fields that follow. */
    static FleetConfiguration read(MessageUnpacker unpacker, FleetConfiguration configuration) throws IOException {
        Optional<TenantTable> tenants = Optional.empty();
        Set<String> publicRoutes = Set.of();
        for (int left = unpacker.unpackMapHeader(); left > 0; left--) {
            switch (unpacker.unpackString()) {
                case TENANTS -> tenants = Optional.of(readTenants(unpacker));
                case PUBLIC_ROUTES ->
                    publicRoutes = Set.copyOf(MessageFields.readList(unpacker, MessageUnpacker::unpackString));
                default -> unpacker.skipValue();
            }
        }
        return new FleetConfiguration(
                configuration.version(),
                withPublicRoutes(configuration.routes(), publicRoutes),
                configuration.connectionCaps(),
                configuration.limits(),
                tenants);
    }

    private static RouteTable withPublicRoutes(RouteTable routes, Set<String> publicRoutes) {
        return RouteTable.of(routes.all().stream()
                .map(route -> publicRoutes.contains(route.name()) ? route.asPublic() : route)
                .toList());
    }

    private static TenantTable readTenants(MessageUnpacker unpacker) throws IOException {
        Map<Tenant, List<String>> keysByTenant = new HashMap<>();
        for (int left = unpacker.unpackArrayHeader(); left > 0; left--) {
            Tenant tenant = new Tenant(
                    unpacker.unpackString(),
                    MessageFields.readOptional(unpacker, MessageUnpacker::unpackInt),
                    MessageFields.readOptional(unpacker, u -> new UsageCap(u.unpackDouble(), u.unpackDouble())));
            keysByTenant.put(tenant, MessageFields.readList(unpacker, MessageUnpacker::unpackString));
        }
        return TenantTable.of(keysByTenant);
    }

    private static void writeTenant(MessagePacker packer, Map.Entry<Tenant, Set<String>> entry) throws IOException {
        Tenant tenant = entry.getKey();
        packer.packString(tenant.name());
        MessageFields.writeOptional(packer, tenant.rank(), MessagePacker::packInt);
        MessageFields.writeOptional(packer, tenant.cap(), (p, cap) -> {
            p.packDouble(cap.perSecond());
            p.packDouble(cap.burst());
        });
        MessageFields.writeList(packer, entry.getValue(), MessagePacker::packString);
    }
}
