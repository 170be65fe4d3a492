import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/** Writes what was sent, answered and run to the record of a case, with the time since its start. */
final class Recorder implements AutoCloseable {
    private final long startNanos = System.nanoTime();
    private final PrintWriter out;

    Recorder(Path file) throws IOException {
        out = new PrintWriter(file.toFile(), StandardCharsets.UTF_8);
    }

    /** Returns the seconds since the start. */
    double now() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    /** Records an event now. */
    synchronized void write(String format, Object... values) {
        out.printf("%8.3f %s%n", now(), String.format(format, values));
    }

    /** Records an event, and shows it on the console as well. */
    void tell(String format, Object... values) {
        write(format, values);
        System.out.printf(format + "%n", values);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
