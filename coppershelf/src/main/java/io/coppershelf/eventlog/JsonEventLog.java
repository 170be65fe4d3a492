package io.coppershelf.eventlog;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** Writes the log as JSON lines, from a bounded queue and at a bounded rate of routine lines. */
public final class JsonEventLog implements EventLog {
    /** Maximum number of queued lines; about 200 KB. */
    private static final int MAX_QUEUED_LINES = 1024;
    /** Queue places reserved for important lines; routine lines are dropped when fewer places are free. */
    private static final int RESERVED_LINES = 512;
    /** Routine lines a second; above it they are sampled, which bounds the volume and the processor time. */
    private static final int MAX_ROUTINE_LINES_PER_SECOND = 20;
    /** Important lines a second; above it a failing process mostly repeats the same lines. */
    private static final int MAX_IMPORTANT_LINES_PER_SECOND = 200;

    /** Interval between writes; lines are written in batches, since each write costs a system call. */
    private static final long BATCH_INTERVAL_MILLIS = 250;
    /** Maximum wait for the last lines to be written. */
    private static final long CLOSE_TIMEOUT_MILLIS = 200;

    private final BlockingQueue<Line> queue = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
    private final AtomicLong dropped = new AtomicLong();
    private final RateLimiter routineRate = new RateLimiter(MAX_ROUTINE_LINES_PER_SECOND);
    private final RateLimiter importantRate = new RateLimiter(MAX_IMPORTANT_LINES_PER_SECOND);
    private final JsonFactory json = new JsonFactory();
    private final OutputStream out;
    private final String vm;
    private final Thread writer;
    private long reportedDropped;

    private JsonEventLog(OutputStream out, String vm) {
        this.out = out;
        this.vm = vm;
        writer = new Thread(this::writeUntilClosed, "event-log");
        writer.setDaemon(true);
    }

    /** Starts a log that a background thread writes to the stream. */
    public static JsonEventLog start(OutputStream out, String vm) {
        JsonEventLog log = new JsonEventLog(out, vm);
        log.writer.start();
        return log;
    }

    /** Writes the queued lines and stops the log; waits for this for a bounded time. */
    public void close() throws InterruptedException {
        writer.interrupt();
        writer.join(CLOSE_TIMEOUT_MILLIS);
    }

    /** Returns how many lines were dropped so far. */
    public long dropped() {
        return dropped.get();
    }

    @Override
    public void write(Importance importance, String event, Map<String, Object> fields) {
        boolean isRoutine = importance == Importance.ROUTINE;
        boolean isDropped = isRoutine
                ? queue.remainingCapacity() < RESERVED_LINES || !routineRate.tryAcquire()
                : !importantRate.tryAcquire();
        if (isDropped || !queue.offer(new Line(System.currentTimeMillis(), event, fields))) {
            dropped.incrementAndGet();
        }
    }

    private void writeUntilClosed() {
        try {
            while (true) {
                writeBatch(queue.take());
                TimeUnit.MILLISECONDS.sleep(BATCH_INTERVAL_MILLIS);
            }
        } catch (InterruptedException e) {
            writeQueued();
        } catch (IOException e) {
            System.err.println("coppershelf: the event log has stopped, its output can't be written: " + e);
        }
    }

    private void writeQueued() {
        try {
            Line first = queue.poll();
            if (first != null) {
                writeBatch(first);
            }
        } catch (IOException e) {
            System.err.println("coppershelf: the last lines of the event log can't be written: " + e);
        }
    }

    private void writeBatch(Line first) throws IOException {
        ByteArrayOutputStream batch = new ByteArrayOutputStream();
        for (Line next = first; next != null; next = queue.poll()) {
            append(batch, next);
        }
        long droppedNow = dropped.get();
        if (droppedNow > reportedDropped) {
            append(batch, droppedLine(droppedNow));
            reportedDropped = droppedNow;
        }
        batch.writeTo(out);
        out.flush();
    }

    private static Line droppedLine(long count) {
        return new Line(System.currentTimeMillis(), "log-lines-dropped", Fields.of("total", count));
    }

    private void append(ByteArrayOutputStream batch, Line line) throws IOException {
        try (JsonGenerator generator = json.createGenerator(batch)) {
            generator.writeStartObject();
            generator.writeNumberField("at", line.wallMillis);
            generator.writeStringField("vm", vm);
            generator.writeStringField("event", line.event);
            for (Map.Entry<String, Object> field : line.fields.entrySet()) {
                generator.writeFieldName(field.getKey());
                writeValue(generator, field.getValue());
            }
            generator.writeEndObject();
        }
        batch.write('\n');
    }

    private static void writeValue(JsonGenerator generator, Object value) throws IOException {
        if (value instanceof Integer || value instanceof Long) {
            generator.writeNumber(((Number) value).longValue());
        } else if (value instanceof Double number) {
            generator.writeNumber(Math.rint(number * 1000) / 1000);
        } else if (value instanceof Boolean flag) {
            generator.writeBoolean(flag);
        } else {
            generator.writeString(wellFormed(String.valueOf(value)));
        }
    }

    /** Returns the text with its unpaired surrogates replaced, which can't be encoded. */
    private static String wellFormed(String text) {
        boolean hasSurrogates = text.chars().anyMatch(unit -> Character.isSurrogate((char) unit));
        return hasSurrogates ? new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.UTF_8) : text;
    }

    private record Line(long wallMillis, String event, Map<String, Object> fields) {}
}
