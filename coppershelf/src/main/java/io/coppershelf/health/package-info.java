/** Judges backend servers by the real work that they do: suspicion, ejection, probation. Pure decisions. */
package io.coppershelf.health;
