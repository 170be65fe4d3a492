package io.coppershelf.cli;

import java.io.PrintStream;

/**
 * The output streams of a command.
 *
 * @param out receives the result of the command
 * @param err receives errors and notes
 */
record Console(PrintStream out, PrintStream err) {}
