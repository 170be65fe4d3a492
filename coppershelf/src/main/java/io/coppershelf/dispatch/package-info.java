/**
 * The decisions on one request: which part of a route, which server, whether to send it once more, when to give up and
 * what to answer. Pure: events and times in, steps out; nothing here knows HTTP or sockets.
 */
package io.coppershelf.dispatch;
