import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** A sound server: runs each request that names it, one at a time on a connection, for a fixed time. */
final class Backend implements AutoCloseable {
    /** Requests that may wait for a slot; further ones are refused. */
    private static final int QUEUE = 24;

    private final String id;
    private final String service;
    private final int slotCount;
    private final long born = System.currentTimeMillis();
    private final int workMillis;
    private final Recorder record;
    private final ServerSocket listener;
    private final Semaphore slots;
    private final AtomicInteger waiting = new AtomicInteger();
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private final Set<String> runIds = ConcurrentHashMap.newKeySet();
    private volatile double lastRunAt = -1;
    private int seq;

    Backend(String id, String service, int slotCount, int workMillis, Recorder record) throws IOException {
        this.id = id;
        this.service = service;
        this.slotCount = slotCount;
        this.workMillis = workMillis;
        this.record = record;
        slots = new Semaphore(slotCount, true);
        listener = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
        Threads.start("accept-" + id, this::accept);
    }

    String id() {
        return id;
    }

    /** Returns the entry of the store, with a new sequence number. */
    synchronized String entry() {
        seq++;
        return String.format(
                "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":%d,"
                        + "\"state\":\"ready\",\"cold_left_s\":0,\"seq\":%d,\"born\":%d}",
                service, listener.getLocalPort(), slotCount, seq, born);
    }

    boolean hasRun(String attemptId) {
        return runIds.contains(attemptId);
    }

    int runs() {
        return runIds.size();
    }

    /** Returns when the last request arrived that it ran, in seconds; negative if there was none. */
    double lastRunAt() {
        return lastRunAt;
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                connections.add(socket);
                Threads.start("serve-" + id, () -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream(), 64 * 1024);
            OutputStream out = socket.getOutputStream();
            for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
                Http.skipBody(in, head.length());
                answer(head, out);
            }
        } catch (SocketException e) {
            // The gateway closed its connection; a running request has ended before.
        } catch (IOException e) {
            record.write("server %s lost a connection: %s", id, e.getMessage());
        } finally {
            connections.remove(socket);
        }
    }

    private void answer(Http.Head head, OutputStream out) throws IOException {
        String attemptId = head.field("attempt-id");
        if (head.startLine().startsWith("GET /health ")) {
            send(out, "200 OK", "Instance-Id: " + id + "\r\n", "well");
            return;
        }
        String target = head.field("target-instance");
        if (!target.isEmpty() && !target.equals(id)) {
            send(out, "421 Misdirected Request", "Instance-Id: " + id + "\r\n" + echo(attemptId), "");
            return;
        }
        if (waiting.incrementAndGet() > QUEUE + slotCount) {
            waiting.decrementAndGet();
            send(out, "503 Service Unavailable", "Not-Executed: 1\r\n" + echo(attemptId), "");
            return;
        }
        try {
            slots.acquireUninterruptibly();
            lastRunAt = record.now();
            runIds.add(attemptId);
            record.write("run %s at %s (%s)", attemptId, id, head.startLine());
            Threads.sleep(workMillis);
            slots.release();
        } finally {
            waiting.decrementAndGet();
        }
        String load = "Server-Load: " + (slotCount - slots.availablePermits()) + ",0," + slotCount + "\r\n";
        send(out, "200 OK", echo(attemptId) + load + "Server-Signature: s." + id + "\r\n", "done " + attemptId);
    }

    private static String echo(String attemptId) {
        return attemptId.isEmpty() ? "" : "Attempt-Id: " + attemptId + "\r\n";
    }

    private static void send(OutputStream out, String status, String fields, String body) throws IOException {
        out.write(Http.bytes("HTTP/1.1 " + status + "\r\n" + fields + "Keep-Alive: timeout=10\r\nContent-Length: "
                + body.length() + "\r\n\r\n" + body));
        out.flush();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : connections) {
            socket.close();
        }
    }
}
