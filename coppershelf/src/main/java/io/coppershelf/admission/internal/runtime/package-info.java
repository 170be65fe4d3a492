/** Drives the decisions of server groups on their owner, and carries tries to owners on other VMs. */
package io.coppershelf.admission.internal.runtime;
