/**
 * The lifecycle of a request: the decisions on its attempts, which are free of I/O and clocks, and the objects that
 * perform them.
 */
package io.coppershelf.routing.internal;
