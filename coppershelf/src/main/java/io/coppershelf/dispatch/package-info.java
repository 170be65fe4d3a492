/**
 * The decisions on one request: which of the weighted services of a route, which server, whether to retry, when to fail
 * the request and what to answer. The code is free of I/O and clocks: events and times in, steps out.
 */
package io.coppershelf.dispatch;
