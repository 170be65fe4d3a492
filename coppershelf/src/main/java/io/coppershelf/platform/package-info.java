/** Reads and watches what the platform publishes: change tickets and the list of VMs. Nothing is ever written. */
package io.coppershelf.platform;
