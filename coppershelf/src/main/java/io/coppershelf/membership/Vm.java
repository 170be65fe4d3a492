package io.coppershelf.membership;

/**
 * A VM of the fleet, as known to its peers.
 *
 * @param id the name, unique across the fleet
 * @param incarnation a number that grows with each start of the daemon (wall clock time of the start in milliseconds),
 *     0 while it is not known
 * @param dataCentre the data centre of the VM
 * @param host its IP address
 * @param peerPort the TCP port for peers
 * @param operatorPort the TCP port for operators
 * @param leaving whether it is leaving the fleet and takes no new work
 */
public record Vm(
        String id, long incarnation, String dataCentre, String host, int peerPort, int operatorPort, boolean leaving) {}
