/** The running micro-kernel: starts and stops the parts of a process, and its control thread. */
package io.coppershelf.component.internal;
