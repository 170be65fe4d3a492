/** HTTP/1.1 towards backend servers over the JDK's client. */
package io.coppershelf.backend.internal;
