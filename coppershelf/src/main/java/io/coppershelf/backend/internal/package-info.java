/** Sends HTTP/1.1 requests to backend servers with the JDK's client. */
package io.coppershelf.backend.internal;
