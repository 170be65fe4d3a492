package io.coppershelf.cli.internal;

import java.util.List;

/**
 * The status of a service.
 *
 * @param service its name
 * @param floor the minimum number of servers that must stay in service
 * @param detectionWeight how detection time weighs against false ejections
 * @param ticket the ticket that set it
 * @param servers its backend servers
 */
public record ServiceReport(
        String service, int floor, double detectionWeight, long ticket, List<ServerReport> servers) {
    /** Returns the number of servers that receive requests. */
    public long inService() {
        return servers.stream().filter(ServerReport::isInService).count();
    }
}
