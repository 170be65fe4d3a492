/** Reads the platform over HTTP, with answers of limited size, strict parsing, and backoff after failures. */
package io.coppershelf.platform.internal;
