/** The parts of a server group: its slots, its queue and its estimates. */
package io.coppershelf.admission.internal;
