/** Which VMs of the fleet are live, from the settings, the platform's list and the peers themselves. */
package io.coppershelf.membership;
