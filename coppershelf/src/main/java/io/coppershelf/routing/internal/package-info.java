/** The lifecycle of a request: pure decisions on its attempts, and the objects that perform them. */
package io.coppershelf.routing.internal;
