package io.coppershelf.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.net.InetAddresses;
import io.coppershelf.document.DocumentSchema;
import io.coppershelf.document.Problems;
import io.coppershelf.document.StrictJson;
import io.coppershelf.outcome.CoppershelfException;
import io.coppershelf.outcome.ErrorKind;
import io.coppershelf.settings.Settings.Seed;
import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Reads the settings of a daemon from JSON.
 *
 * <pre>{@code
 * Settings settings = SettingsFile.read(Path.of("herning-1.json"));
 * }</pre>
 */
public final class SettingsFile {
    private static final DocumentSchema SCHEMA = DocumentSchema.load(SettingsFile.class, "settings.schema.json");
    private static final List<String> PORTS = List.of("callerPort", "peerPort", "operatorPort");
    private static final int DEFAULT_STOP_SECONDS = 20;
    private static final int DEFAULT_TRAFFIC_THREADS = 8;
    private static final int DEFAULT_LARGEST_HEAD_BYTES = 16_384;

    private SettingsFile() {}

    /**
     * Reads a settings file.
     *
     * @throws CoppershelfException with {@link ErrorKind#INVALID_SETTINGS}, naming every problem with its path
     */
    public static Settings read(Path file) {
        try {
            return parse(Files.readString(file));
        } catch (IOException e) {
            throw CoppershelfException.causedBy(
                    ErrorKind.INVALID_SETTINGS, "settings file " + file + " can't be read: " + e, e);
        }
    }

    /**
     * Reads settings from JSON text.
     *
     * @throws CoppershelfException with {@link ErrorKind#INVALID_SETTINGS}, naming every problem with its path
     */
    public static Settings parse(String text) {
        Problems problems = new Problems();
        Optional<JsonNode> document = StrictJson.read(text, problems);
        document.ifPresent(node -> check(node, problems));
        problems.throwIfAny(ErrorKind.INVALID_SETTINGS, "settings are not valid:");
        return settings(document.orElseThrow());
    }

    private static void check(JsonNode document, Problems problems) {
        problems.addAll(SCHEMA.check(document));
        checkHost(document.path("host"), "/host", problems);
        checkPlatform(document.path("platform"), problems);
        checkPorts(document, problems);
        JsonNode seeds = document.path("seeds");
        for (int i = 0; i < seeds.size(); i++) {
            checkHost(seeds.path(i).path("host"), "/seeds/" + i + "/host", problems);
        }
    }

    private static void checkHost(JsonNode host, String path, Problems problems) {
        if (host.isTextual() && !InetAddresses.isInetAddress(host.textValue())) {
            problems.add(path, "must be an IP number, but is " + host);
        }
    }

    private static void checkPlatform(JsonNode platform, Problems problems) {
        if (platform.isTextual() && !isPlatformAddress(platform.textValue())) {
            problems.add("/platform", "must be http://HOST:PORT, but is " + platform);
        }
    }

    private static boolean isPlatformAddress(String text) {
        try {
            URI address = URI.create(text);
            return "http".equals(address.getScheme())
                    && address.getHost() != null
                    && address.getPort() > 0
                    && address.getRawPath().isEmpty()
                    && address.getRawQuery() == null;
        } catch (IllegalArgumentException e) {
            return false;
        }
    }

    private static void checkPorts(JsonNode document, Problems problems) {
        Map<Integer, String> keyByPort = new HashMap<>();
        for (String key : PORTS) {
            JsonNode port = document.path(key);
            String other = port.isInt() ? keyByPort.putIfAbsent(port.intValue(), key) : null;
            if (other != null) {
                problems.add("/" + key, "must differ from /" + other + ", but both are " + port);
            }
        }
    }

    private static Settings settings(JsonNode document) {
        List<Seed> seeds = new ArrayList<>();
        for (JsonNode seed : document.path("seeds")) {
            seeds.add(new Seed(
                    seed.path("host").textValue(), seed.path("peerPort").intValue()));
        }
        return new Settings(
                document.path("vm").textValue(),
                document.path("dataCentre").textValue(),
                document.path("host").textValue(),
                document.path("callerPort").intValue(),
                document.path("peerPort").intValue(),
                document.path("operatorPort").intValue(),
                URI.create(document.path("platform").textValue()),
                seeds,
                document.path("stopSeconds").asInt(DEFAULT_STOP_SECONDS),
                document.path("trafficThreads").asInt(DEFAULT_TRAFFIC_THREADS),
                document.path("largestHead").asInt(DEFAULT_LARGEST_HEAD_BYTES));
    }
}
