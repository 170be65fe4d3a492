/**
 * The daemon of an entry VM on a platform that publishes configuration and servers: assembles its parts and ends it.
 */
package io.coppershelf.gateway;
