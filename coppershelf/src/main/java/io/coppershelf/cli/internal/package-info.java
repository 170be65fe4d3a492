/** Shared code of the commands: queries to daemons and the layout of their answers. */
package io.coppershelf.cli.internal;
