/** Settings of a daemon: JSON that is validated against a schema; unknown keys are rejected. */
package io.coppershelf.settings;
