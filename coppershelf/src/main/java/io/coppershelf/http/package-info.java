/**
 * Client connections with one exchange at a time, on Netty's transport, and the memory for bodies in transit. Answers
 * are read by a reader of our own, strict by RFC 9112: Netty's decoder and the JDK's client accept a head that consists
 * of two answers, and the latter also pools connections and retries requests by its own rules.
 */
package io.coppershelf.http;
