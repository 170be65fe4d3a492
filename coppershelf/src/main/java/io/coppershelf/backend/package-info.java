/** Sends requests to backend servers over HTTP/1.1, each at most once, and returns complete answers only. */
package io.coppershelf.backend;
