/**
 * Grants to eject backend servers. A grant is the right to eject one server for a limited time; over the whole fleet,
 * the granter of a service grants only as many as leave its floor in service.
 */
package io.coppershelf.floor;
