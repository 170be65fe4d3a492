/**
 * Measures the memory and processor time that objects, VMs, requests and tickets cost a daemon, at several sizes, and
 * fits a line to each cost.
 */
package io.coppershelf.bench.slopes;
