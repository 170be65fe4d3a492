/** The command line of coppershelf: one class per command, run by {@link io.coppershelf.cli.Main}. */
package io.coppershelf.cli;
