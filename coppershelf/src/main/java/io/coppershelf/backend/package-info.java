/** Sends requests to backend servers over HTTP/1.1, each at most once, and hands back whole answers only. */
package io.coppershelf.backend;
