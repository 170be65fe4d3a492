/** Assembles the components into the daemon that runs on each entry VM. */
package io.coppershelf.daemon;
