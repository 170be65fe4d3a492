package io.coppershelf.dispatch;

import io.coppershelf.catalog.BackendServer;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/**
 * Decides from the outcomes of new connections whether this VM reaches any server. A failure raises the doubt that the
 * VM's own paths are broken, not the server; connections to servers of other services then settle it. Existing
 * connections prove nothing: they may live on while new ones are refused. Free of I/O and clocks; not thread-safe.
 */
public final class ServerReachability {
    /** Number of servers that must be unreachable, one after the other, before the VM counts as cut off. */
    static final int CUT_OFF_SERVERS = 4;
    /**
     * Time without any answer, while requests are in flight, after which a server is checked; most answers take less.
     */
    static final long SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(800);
    /** Interval of the checks while the VM is cut off, by which it notices that a path is back. */
    static final long RECHECK_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    private final Random random;
    private final Set<String> unreachable = new HashSet<>();
    /** The servers whose last connection failed, of this doubt and of earlier ones. */
    private final Set<String> failed = new HashSet<>();

    private final Set<String> failedBeforeDoubt = new HashSet<>();
    private final Set<String> beingChecked = new HashSet<>();
    private final Map<String, Long> connectedNanos = new HashMap<>();
    private boolean isCutOff;
    private int inFlight;
    private long signOfLifeNanos;
    private long quietSinceNanos;
    private long checkedNanos;

    /** Creates an instance that assumes that servers are reachable. */
    public ServerReachability(Random random) {
        this.random = random;
    }

    /** Returns whether this VM reaches no server. */
    public boolean isCutOff() {
        return isCutOff;
    }

    /** Returns whether the last connection failed, so that the failure may be due to the paths of this VM. */
    public boolean isInDoubt() {
        return !unreachable.isEmpty();
    }

    /** Records a new connection to a server. */
    public void connected(String serverId, long nowNanos) {
        beingChecked.remove(serverId);
        connectedNanos.put(serverId, nowNanos);
        failed.remove(serverId);
        if (isCutOff) {
            // The failures were those of this VM's own paths.
            failed.clear();
        }
        unreachable.clear();
        failedBeforeDoubt.clear();
        isCutOff = false;
        recordSignOfLife(nowNanos);
    }

    /**
     * Records that a new connection to a server failed.
     *
     * @param knownServers the number of servers that this VM knows
     */
    public void connectFailed(String serverId, int knownServers) {
        beingChecked.remove(serverId);
        boolean isNewFailure = failed.add(serverId);
        if (unreachable.add(serverId) && !isNewFailure) {
            failedBeforeDoubt.add(serverId);
        }
        isCutOff = isCutOff || unreachable.size() - failedBeforeDoubt.size() >= Math.min(CUT_OFF_SERVERS, knownServers);
    }

    /**
     * Returns the time until a check may become due if no new connection fails: that of the silence of all servers
     * which have requests, and without requests the shortest silence after the next one.
     */
    public long nanosToSilence(long nowNanos) {
        return inFlight == 0 ? SILENCE_NANOS : quietSinceNanos + SILENCE_NANOS - nowNanos;
    }

    /** Returns whether a connection is being opened to the server to settle a doubt or to find a path that is back. */
    public boolean isChecking(String serverId) {
        return beingChecked.contains(serverId);
    }

    /** Records that a request was sent. */
    public void requestSent(long nowNanos) {
        if (inFlight == 0) {
            quietSinceNanos = nowNanos;
        }
        inFlight++;
    }

    /**
     * Records the end of a request.
     *
     * @param isAnswered whether the server answered it
     */
    public void requestEnded(boolean isAnswered, long nowNanos) {
        inFlight--;
        if (isAnswered) {
            recordSignOfLife(nowNanos);
        }
    }

    /** Returns whether a server answered or accepted a connection after a time. */
    public boolean hasSignOfLifeSince(long nanos) {
        return signOfLifeNanos - nanos > 0;
    }

    private void recordSignOfLife(long nowNanos) {
        signOfLifeNanos = nowNanos;
        quietSinceNanos = nowNanos;
    }

    /**
     * Returns the servers to which a connection has to be opened now, to find out whether they can be reached.
     *
     * @param servers returns the servers that accept requests; called only if a check is due
     */
    public List<BackendServer> pollChecks(Supplier<Collection<BackendServer>> servers, long nowNanos) {
        int due = checksDue(nowNanos);
        if (due == 0) {
            return List.of();
        }
        checkedNanos = nowNanos;
        quietSinceNanos = nowNanos;
        List<BackendServer> chosen = new ArrayList<>();
        for (BackendServer server : inOrderOfChecks(servers.get(), nowNanos)) {
            if (chosen.size() < due && beingChecked.add(server.id())) {
                chosen.add(server);
            }
        }
        // No server is left that could settle the doubt.
        isCutOff = isCutOff || (isInDoubt() && beingChecked.isEmpty());
        return chosen;
    }

    private int checksDue(long nowNanos) {
        if (isCutOff) {
            return beingChecked.isEmpty() && nowNanos - checkedNanos >= RECHECK_NANOS ? 1 : 0;
        }
        if (isInDoubt()) {
            int counted = unreachable.size() - failedBeforeDoubt.size();
            return Math.max(0, CUT_OFF_SERVERS - counted - beingChecked.size());
        }
        return inFlight > 0 && beingChecked.isEmpty() && nowNanos - quietSinceNanos >= SILENCE_NANOS ? 1 : 0;
    }

    /**
     * Returns the servers in the order in which they show best that this VM reaches servers: those of services with the
     * fewest unreachable servers first, of these the last one to which there was a connection. Servers that failed
     * before the doubt come last: they may have crashed, and another failure shows nothing of this VM's paths. While
     * the VM is cut off, the order is random.
     */
    private List<BackendServer> inOrderOfChecks(Collection<BackendServer> servers, long nowNanos) {
        Set<String> ids = servers.stream().map(BackendServer::id).collect(Collectors.toSet());
        connectedNanos.keySet().retainAll(ids);
        failed.retainAll(ids);
        List<BackendServer> ordered = new ArrayList<>(servers);
        Collections.shuffle(ordered, random);
        if (isCutOff) {
            return ordered;
        }
        ordered.removeIf(server -> unreachable.contains(server.id()));
        Map<String, Long> unreachableByService = servers.stream()
                .filter(server -> unreachable.contains(server.id()))
                .collect(Collectors.groupingBy(BackendServer::service, Collectors.counting()));
        ordered.sort(Comparator.comparing((BackendServer server) -> failed.contains(server.id()))
                .thenComparingLong((BackendServer server) -> unreachableByService.getOrDefault(server.service(), 0L))
                .thenComparingLong(server -> nowNanos - connectedNanos.getOrDefault(server.id(), 0L)));
        return ordered;
    }
}
