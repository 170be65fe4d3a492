package io.coppershelf.ticket.internal;

import com.google.common.hash.Hashing;
import io.coppershelf.ticket.Configuration;
import io.coppershelf.ticket.ObjectKey;
import io.coppershelf.ticket.ObjectSpec;
import io.coppershelf.ticket.ObjectType;
import io.coppershelf.ticket.ObjectVersion;
import io.coppershelf.ticket.RouteSpec;
import io.coppershelf.ticket.ServerSpec;
import io.coppershelf.ticket.ServiceSpec;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * A configuration in packed form; objects are decoded on each look-up. A server or route whose service is unknown is
 * kept but hidden, so that tickets may arrive in any order.
 */
public final class PackedConfiguration implements Configuration {
    private final long ticketNumber;
    private final Map<ObjectType, PackedMap> objects;
    private final NameIndex serversByService;
    private final NameIndex routesByPath;
    private final long[] bucketDigests;

    private PackedConfiguration(
            long ticketNumber,
            Map<ObjectType, PackedMap> objects,
            NameIndex serversByService,
            NameIndex routesByPath,
            long[] bucketDigests) {
        this.ticketNumber = ticketNumber;
        this.objects = objects;
        this.serversByService = serversByService;
        this.routesByPath = routesByPath;
        this.bucketDigests = bucketDigests;
    }

    /** Returns the configuration before the first ticket. */
    public static PackedConfiguration empty() {
        Map<ObjectType, PackedMap> objects = new EnumMap<>(ObjectType.class);
        for (ObjectType type : ObjectType.values()) {
            objects.put(type, PackedMap.empty());
        }
        return new PackedConfiguration(0, objects, NameIndex.empty(), NameIndex.empty(), new long[PackedMap.BUCKETS]);
    }

    /** Returns a copy of this configuration in which the version replaces the present one of its object. */
    public PackedConfiguration with(ObjectVersion version) {
        ObjectKey key = version.state().key();
        Optional<byte[]> before = packed(key);
        byte[] after = ObjectCodec.write(version);
        Map<ObjectType, PackedMap> changed = new EnumMap<>(objects);
        changed.put(key.type(), objects.get(key.type()).with(key.name(), after));
        Optional<ObjectSpec> specBefore = before.flatMap(bytes -> ObjectCodec.spec(key, bytes));
        Optional<ObjectSpec> specAfter = version.state().spec();
        return new PackedConfiguration(
                Math.max(ticketNumber, version.ticket()),
                changed,
                serversByService.moved(key.name(), serviceOfServer(specBefore), serviceOfServer(specAfter)),
                routesByPath.moved(key.name(), pathOfRoute(specBefore), pathOfRoute(specAfter)),
                digestsWith(key, before, after));
    }

    /** Returns the version in force of an object, also if it is removed. */
    public Optional<ObjectVersion> version(ObjectKey key) {
        return packed(key).map(bytes -> ObjectCodec.read(key, bytes));
    }

    /** Returns the versions of one bucket, removed and hidden objects included. */
    public List<ObjectVersion> versions(int bucket) {
        List<ObjectVersion> versions = new ArrayList<>();
        for (ObjectType type : ObjectType.values()) {
            objects.get(type)
                    .forEach(bucket, (name, bytes) -> versions.add(ObjectCodec.read(new ObjectKey(type, name), bytes)));
        }
        return versions;
    }

    /** Returns the digests of all buckets. */
    public long[] bucketDigests() {
        return bucketDigests.clone();
    }

    @Override
    public long ticketNumber() {
        return ticketNumber;
    }

    @Override
    public long digest() {
        return Arrays.stream(bucketDigests).sum();
    }

    @Override
    public Optional<ServiceSpec> service(String name) {
        return find(ObjectType.SERVICE, name, ServiceSpec.class);
    }

    @Override
    public long serviceTicket(String name) {
        return packed(new ObjectKey(ObjectType.SERVICE, name))
                .map(ObjectCodec::ticket)
                .orElse(0L);
    }

    @Override
    public List<ServiceSpec> services() {
        return all(ObjectType.SERVICE, ServiceSpec.class).stream()
                .sorted(Comparator.comparing(ServiceSpec::name))
                .toList();
    }

    @Override
    public Optional<ServerSpec> server(String name) {
        return find(ObjectType.SERVER, name, ServerSpec.class).filter(server -> isService(server.service()));
    }

    @Override
    public List<ServerSpec> servers(String service) {
        if (!isService(service)) {
            return List.of();
        }
        return serversByService.names(service).stream()
                .flatMap(name -> find(ObjectType.SERVER, name, ServerSpec.class).stream())
                .toList();
    }

    @Override
    public List<RouteSpec> routes() {
        return all(ObjectType.ROUTE, RouteSpec.class).stream()
                .filter(route -> isService(route.service()))
                .sorted(Comparator.comparing(RouteSpec::name))
                .toList();
    }

    @Override
    public Optional<RouteSpec> route(String method, String path) {
        return PathPatterns.matching(path).stream()
                .flatMap(pattern -> routesOf(pattern).stream())
                .filter(route -> route.method().equals(method))
                .findFirst();
    }

    @Override
    public boolean isPathKnown(String path) {
        return PathPatterns.matching(path).stream()
                .anyMatch(pattern -> !routesOf(pattern).isEmpty());
    }

    @Override
    public List<ObjectSpec> unused() {
        Stream<ObjectSpec> servers = all(ObjectType.SERVER, ServerSpec.class).stream()
                .filter(server -> !isService(server.service()))
                .map(ObjectSpec.class::cast);
        Stream<ObjectSpec> routes = all(ObjectType.ROUTE, RouteSpec.class).stream()
                .filter(route -> !isService(route.service()))
                .map(ObjectSpec.class::cast);
        return Stream.concat(servers, routes)
                .sorted(Comparator.comparing(ObjectSpec::key))
                .toList();
    }

    /** Returns the visible routes with the given path, the one that was set by the highest ticket first. */
    private List<RouteSpec> routesOf(String pattern) {
        return routesByPath.names(pattern).stream()
                .flatMap(name -> version(new ObjectKey(ObjectType.ROUTE, name)).stream())
                .sorted(Comparator.comparingLong(ObjectVersion::ticket).reversed())
                .flatMap(version -> version.state().spec().stream())
                .map(RouteSpec.class::cast)
                .filter(route -> isService(route.service()))
                .toList();
    }

    private boolean isService(String name) {
        return objects.get(ObjectType.SERVICE)
                .get(name)
                .filter(ObjectCodec::isPresent)
                .isPresent();
    }

    private Optional<byte[]> packed(ObjectKey key) {
        return objects.get(key.type()).get(key.name());
    }

    private <T extends ObjectSpec> Optional<T> find(ObjectType type, String name, Class<T> specType) {
        ObjectKey key = new ObjectKey(type, name);
        return packed(key).flatMap(bytes -> ObjectCodec.spec(key, bytes)).map(specType::cast);
    }

    private <T extends ObjectSpec> List<T> all(ObjectType type, Class<T> specType) {
        List<T> specs = new ArrayList<>();
        objects.get(type)
                .forEach((name, bytes) -> ObjectCodec.spec(new ObjectKey(type, name), bytes)
                        .map(specType::cast)
                        .ifPresent(specs::add));
        return specs;
    }

    private long[] digestsWith(ObjectKey key, Optional<byte[]> before, byte[] after) {
        long[] changed = bucketDigests.clone();
        int bucket = PackedMap.bucketOf(key.name());
        changed[bucket] +=
                hash(key, after) - before.map(bytes -> hash(key, bytes)).orElse(0L);
        return changed;
    }

    private static long hash(ObjectKey key, byte[] bytes) {
        return Hashing.murmur3_128()
                .newHasher()
                .putString(key.type().name(), StandardCharsets.UTF_8)
                .putString(key.name(), StandardCharsets.UTF_8)
                .putBytes(bytes)
                .hash()
                .asLong();
    }

    private static Optional<String> serviceOfServer(Optional<ObjectSpec> spec) {
        return spec.filter(ServerSpec.class::isInstance).map(server -> ((ServerSpec) server).service());
    }

    private static Optional<String> pathOfRoute(Optional<ObjectSpec> spec) {
        return spec.filter(RouteSpec.class::isInstance).map(route -> ((RouteSpec) route).path());
    }
}
