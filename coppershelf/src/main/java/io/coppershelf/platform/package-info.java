/**
 * Reads and watches what the platform publishes: change tickets and the list of VMs. It never writes to the platform.
 */
package io.coppershelf.platform;
