/**
 * The daemon of an entry VM on a platform that publishes configuration and servers: assembles its components, and
 * starts and stops it.
 */
package io.coppershelf.gateway;
