/** The command line of coppershelf: one command a class, run by {@link io.coppershelf.cli.Main}. */
package io.coppershelf.cli;
