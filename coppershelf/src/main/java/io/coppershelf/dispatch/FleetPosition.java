package io.coppershelf.dispatch;

/**
 * The position of this VM among the live VMs, by which the VMs divide what they may use together.
 *
 * @param rank the rank in an order that is the same on all VMs, from 0
 * @param size the number of VMs, at least 1
 */
public record FleetPosition(int rank, int size) {}
