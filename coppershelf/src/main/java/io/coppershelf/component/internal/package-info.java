/** Starts and stops the components of a process and runs its control thread. */
package io.coppershelf.component.internal;
