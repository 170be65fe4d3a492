/**
 * Client connections with one exchange at a time, on Netty's codec. The JDK's client is not used on this path: it pools
 * connections, retries requests and reads ahead by its own rules, and does not expose bytes that follow an answer.
 */
package io.coppershelf.http;
