/**
 * Usage caps of tenants that all VMs share. A few VMs of each tenant, its granters, lend tokens to the VMs that receive
 * its requests; a request needs a token. All decisions are free of I/O and clocks: events and the time go in, actions
 * come out.
 */
package io.coppershelf.quota;
