package io.coppershelf.bench.decisions;

/** Which VMs make the decisions for which servers. */
enum Layout {
    /** One owner for the servers of the service in one data centre. */
    OWNER_PER_GROUP,
    /** One owner for each server. */
    OWNER_PER_SERVER,
    /** One owner for all servers of the service. */
    OWNER_PER_SERVICE,
    /** Owners lease slots to entry VMs. */
    LEASES,
    /** Each entry VM for itself, over all servers of the service. */
    EACH_VM_ALONE
}
