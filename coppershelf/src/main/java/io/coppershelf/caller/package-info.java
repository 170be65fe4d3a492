/** Receives callers' HTTP/1.1 requests, validates them, and sends complete answers. */
package io.coppershelf.caller;
