package io.coppershelf.cli;

import java.io.PrintStream;

/**
 * Where a command writes.
 *
 * @param out takes what was asked for
 * @param err takes everything else
 */
record Console(PrintStream out, PrintStream err) {}
