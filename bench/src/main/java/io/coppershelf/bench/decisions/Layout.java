package io.coppershelf.bench.decisions;

/** Who decides about which servers. */
enum Layout {
    /** One owner for the servers of the service in one data centre. */
    OWNER_PER_GROUP,
    /** One owner for each server. */
    OWNER_PER_SERVER,
    /** One owner for all servers of the service. */
    OWNER_PER_SERVICE,
    /** Owners lend slots to entry VMs. */
    LEASES,
    /** Each entry VM alone, over all servers of the service. */
    EACH_VM_ALONE
}
