/** The way of one request: pure decisions on its tries, and the objects that carry them out. */
package io.coppershelf.routing.internal;
