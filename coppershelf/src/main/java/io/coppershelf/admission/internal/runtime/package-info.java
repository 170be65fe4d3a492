/** Runs the decisions of server groups on their owner, and forwards attempts to owners on other VMs. */
package io.coppershelf.admission.internal.runtime;
