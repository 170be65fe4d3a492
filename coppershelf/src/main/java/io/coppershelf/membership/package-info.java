/**
 * The view of which VMs of the fleet are live, from the settings, the platform's VM list, and probes between the VMs.
 */
package io.coppershelf.membership;
