package io.coppershelf.cli;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

/** Runs commands and captures their output. */
final class TestConsole {
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    int run(String... arguments) throws InterruptedException {
        out.reset();
        err.reset();
        return CommandLine.run(arguments, new Console(printStream(out), printStream(err)));
    }

    String out() {
        return out.toString(StandardCharsets.UTF_8);
    }

    String err() {
        return err.toString(StandardCharsets.UTF_8);
    }

    private static PrintStream printStream(ByteArrayOutputStream bytes) {
        return new PrintStream(bytes, true, StandardCharsets.UTF_8);
    }
}
