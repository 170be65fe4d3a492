/** Serves HTTP/1.1 requests of callers with the JDK's server. */
package io.coppershelf.caller.internal;
