/**
 * The traffic path: receives requests of callers, forwards them to backend servers as {@link io.coppershelf.dispatch}
 * decides, and returns complete answers. It runs on one thread.
 */
package io.coppershelf.proxy;
