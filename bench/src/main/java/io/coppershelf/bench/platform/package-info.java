/** A stand-in for the platform, with switches for its faults. */
package io.coppershelf.bench.platform;
