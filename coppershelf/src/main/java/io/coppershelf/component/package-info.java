/**
 * The micro-kernel: a registry of services that find each other by name, the life cycle of the parts that offer them,
 * and the one thread that owns the control state.
 */
package io.coppershelf.component;
