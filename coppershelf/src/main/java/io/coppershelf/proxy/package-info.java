/**
 * The traffic path: takes requests of callers, forwards them to backend servers as {@link io.coppershelf.dispatch}
 * decides, and gives back whole answers. One thread runs it.
 */
package io.coppershelf.proxy;
