/**
 * Client connections with one exchange at a time, on Netty's codec. The JDK's client is not used on this path: it
 * pools, repeats and reads ahead by rules of its own, and does not show bytes that follow an answer.
 */
package io.coppershelf.http;
