/**
 * The component framework of a process: the life cycle of its components, the registry in which they find each other,
 * and the single thread that owns the control state.
 */
package io.coppershelf.component;
