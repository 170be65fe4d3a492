package io.coppershelf.bench.matrix;

import io.coppershelf.ticket.ConfigurationStore;
import io.coppershelf.ticket.ObjectState;
import io.coppershelf.ticket.ObjectVersion;
import io.coppershelf.ticket.ServiceSpec;
import io.coppershelf.ticket.Ticket;
import java.util.ArrayList;
import java.util.List;

/** Simulates the configurations of three VMs under one fault, while a ticket has reached only the first of them. */
final class TicketSimulation {
    private static final int VMS = 3;
    private static final String SERVICE = "millrelease";

    private final List<ConfigurationStore> stores = new ArrayList<>();
    private final List<Long> highestTickets = new ArrayList<>();
    private final List<String> reverts = new ArrayList<>();

    TicketSimulation() {
        for (int vm = 0; vm < VMS; vm++) {
            stores.add(new ConfigurationStore());
            highestTickets.add(0L);
            apply(vm, ticket(1, 1));
        }
        apply(0, ticket(2, 2));
    }

    /** Injects the fault with its consequences, then lets all VMs repair their configurations from each other. */
    void run(Fault fault) {
        List<ObjectVersion> delayed = versions(0);
        switch (fault) {
            case VM_KILLED -> restart(0);
            case VM_RESTARTED -> {
                restart(0);
                repair(1, 0);
            }
            case VM_PAUSED, CUT_OUT -> {
                apply(1, ticket(3, 3));
                delayed.forEach(version -> apply(1, version));
            }
            case CUT_IN, SPLIT -> {
                apply(1, ticket(3, 3));
                repair(1, 2);
            }
            case PLATFORM_DOWN -> repair(0, 1);
            case PLATFORM_STALE -> {
                repair(0, 1);
                apply(1, ticket(1, 1));
                restart(2);
                apply(2, ticket(1, 1));
                repair(1, 2);
            }
            case PLATFORM_ROLLED_BACK -> {
                for (int vm = 0; vm < VMS; vm++) {
                    apply(vm, ticket(1, 1));
                }
            }
            default -> {
                apply(2, ticket(2, 7));
                repair(2, 1);
            }
        }
        for (int round = 0; round < VMS; round++) {
            repair(round, (round + 1) % VMS);
            repair((round + 1) % VMS, round);
            repair(0, 2);
        }
    }

    /** Returns the VMs that went back to an earlier ticket while serving, as texts; empty if there are none. */
    List<String> reverts() {
        return reverts;
    }

    /** Returns the number of the ticket in force on each VM. */
    List<Long> inForce() {
        return stores.stream()
                .map(store -> store.snapshot().serviceTicket(SERVICE))
                .toList();
    }

    /** Returns the digests of the configurations. */
    List<Long> digests() {
        return stores.stream().map(store -> store.snapshot().digest()).toList();
    }

    /** Returns the number of VMs that detected different contents under the same ticket number. */
    long vmsWithConflict() {
        return stores.stream().filter(store -> !store.conflicts().isEmpty()).count();
    }

    private static Ticket ticket(long number, int floor) {
        return new Ticket(number, List.of(ObjectState.present(new ServiceSpec(SERVICE, floor, 0.2))));
    }

    private void apply(int vm, Ticket ticket) {
        stores.get(vm).apply(ticket);
        check(vm);
    }

    private void apply(int vm, ObjectVersion version) {
        stores.get(vm).apply(version);
        check(vm);
    }

    private void check(int vm) {
        long now = inForce().get(vm);
        if (now < highestTickets.get(vm)) {
            reverts.add("VM " + vm + " went from ticket " + highestTickets.get(vm) + " to " + now);
        }
        highestTickets.set(vm, now);
    }

    /** Restarts a VM without configuration; it doesn't serve until it has received the tickets in force from a peer. */
    private void restart(int vm) {
        stores.set(vm, new ConfigurationStore());
        highestTickets.set(vm, 0L);
    }

    private void repair(int from, int to) {
        versions(from).forEach(version -> apply(to, version));
    }

    private List<ObjectVersion> versions(int vm) {
        List<ObjectVersion> all = new ArrayList<>();
        for (int bucket = 0; bucket < ConfigurationStore.BUCKETS; bucket++) {
            all.addAll(stores.get(vm).versions(bucket));
        }
        return all;
    }
}
