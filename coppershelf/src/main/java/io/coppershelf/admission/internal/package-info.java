/** The components of a server group: slots, queue and estimates of service times and waits. */
package io.coppershelf.admission.internal;
