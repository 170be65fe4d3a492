package io.coppershelf.floor.internal;

import io.coppershelf.floor.internal.FloorAction.Send;
import io.coppershelf.floor.internal.FloorMessage.OutOfServiceReport;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;

/** The servers that this VM knows to be out of service for another reason than ejection; reports them to all voters. */
final class OutOfServiceReports {
    private final Map<String, Set<String>> outOfService = new TreeMap<>();
    private long lastReportNanos;

    /** Records a change and reports it to the voters at once. */
    List<FloorAction> change(String service, String server, boolean isOut, VoterSet voters, long nowNanos) {
        Set<String> servers = outOfService.computeIfAbsent(service, name -> new TreeSet<>());
        boolean changed = isOut ? servers.add(server) : servers.remove(server);
        if (!changed) {
            return List.of();
        }
        List<FloorAction> actions = report(service, servers, voters);
        if (servers.isEmpty()) {
            outOfService.remove(service);
        }
        return actions;
    }

    /** Resends the reports at intervals. */
    List<FloorAction> onTick(Function<String, VoterSet> voters, long nowNanos) {
        if (nowNanos - lastReportNanos < FloorTiming.REPORT_INTERVAL.toNanos()) {
            return List.of();
        }
        lastReportNanos = nowNanos;
        List<FloorAction> actions = new ArrayList<>();
        outOfService.forEach((service, servers) -> actions.addAll(report(service, servers, voters.apply(service))));
        return actions;
    }

    private static List<FloorAction> report(String service, Set<String> servers, VoterSet voters) {
        OutOfServiceReport report = new OutOfServiceReport(service, List.copyOf(servers));
        return voters.ids().stream()
                .<FloorAction>map(target -> new Send(target, report))
                .toList();
    }
}
