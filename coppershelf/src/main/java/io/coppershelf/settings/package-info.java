/** Settings of a daemon: JSON, checked against a schema, unknown keys refused. */
package io.coppershelf.settings;
