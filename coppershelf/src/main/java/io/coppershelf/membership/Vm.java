package io.coppershelf.membership;

/**
 * A VM of the fleet as its peers know it.
 *
 * @param id the name, unique over the fleet
 * @param incarnation a number that grows with each start of the daemon (wall clock milliseconds of the start), 0 while
 *     it is not known yet
 * @param dataCentre the data centre in which it stands
 * @param host its IP number
 * @param peerPort the TCP port for peers
 * @param operatorPort the TCP port for operators
 * @param leaving whether it takes no new work
 */
public record Vm(
        String id, long incarnation, String dataCentre, String host, int peerPort, int operatorPort, boolean leaving) {}
