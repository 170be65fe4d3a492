/** HTTP/1.1 from callers over the JDK's server. */
package io.coppershelf.caller.internal;
