package review;

import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Servers answer uploads from their first bytes on, without a length: the end of the connection ends the answer. While
 * the trouble lasts, some of them break off some of their answers by a reset.
 */
final class ResetAnswers {
    private static final int SERVERS = 5;
    private static final int FAULTY = 3;
    private static final double SHARE_OF_ANSWERS = 0.05;
    private static final int SLOTS = 6;
    private static final int CONSUMERS = 10;
    private static final int BODY_BYTES = 1_000_000;
    private static final int FIRST_BYTES = 100_000;
    private static final long CALM_MILLIS = 3000;
    private static final long TROUBLE_MILLIS = 5000;
    private static final int WINDOWS = 4;
    /** Time for which the answer is on the way before it breaks off. */
    private static final long PAUSE_MILLIS = 30;

    private final Bed bed;
    private final Map<String, String> wholeAnswers = new ConcurrentHashMap<>();
    private final AtomicInteger requests = new AtomicInteger();
    private final AtomicInteger resets = new AtomicInteger();
    private final AtomicInteger cutSuccesses = new AtomicInteger();
    private final AtomicInteger wholeSuccesses = new AtomicInteger();
    private volatile boolean isTroubled;
    private volatile boolean isOver;

    private ResetAnswers(Bed bed) {
        this.bed = bed;
    }

    public static void main(String[] args) {
        Bed.run(Path.of(args[0]), bed -> new ResetAnswers(bed).run());
    }

    private boolean run() throws Exception {
        bed.configure("{\"version\":7,\"routes\":{\"r-confirm\":{\"host\":\"hulo84.example\",\"path_prefix\":\"/xapu221/\","
                + "\"kind\":\"unsafe\",\"timeout_s\":6,\"target_latency_s\":2,\"priority\":1,\"service\":\"timeloen\","
                + "\"max_attempts\":2}},\"services\":{\"timeloen\":{\"health_path\":\"/health\",\"max_conns\":330,"
                + "\"protocol\":\"h1\",\"tls\":false}},\"limits\":{\"max_header_bytes\":16384,"
                + "\"max_body_bytes\":67108864,\"header_timeout_s\":3,\"idle_timeout_s\":15}}");
        for (int i = 0; i < SERVERS; i++) {
            boolean isFaulty = i < FAULTY;
            bed.register(new Backend("i-" + i, "timeloen", "herning", SLOTS, (self, request, socket, out) ->
                    serve(self, isFaulty, request, socket, out)));
        }
        bed.startGateways(1);
        for (int i = 0; i < CONSUMERS; i++) {
            int number = i;
            Bed.daemon("consumer-" + i, () -> consume(number));
        }
        for (int i = 0; i < WINDOWS; i++) {
            Bed.sleep(CALM_MILLIS);
            isTroubled = Bed.HAS_TROUBLE;
            bed.log(isTroubled ? "servers i-0 to i-2 break off answers from now on" : "no trouble");
            Bed.sleep(TROUBLE_MILLIS);
            isTroubled = false;
            bed.log("end of the trouble");
        }
        isOver = true;
        Bed.sleep(1000);
        bed.log("requests " + requests + ", answers reset by servers " + resets + ", whole successes " + wholeSuccesses
                + ", successes whose body is not the whole body " + cutSuccesses);
        if (wholeSuccesses.get() == 0) {
            throw new IllegalStateException("no request was served");
        }
        return cutSuccesses.get() > 0;
    }

    private void consume(int number) {
        try (Consumer consumer = new Consumer(bed, 0)) {
            for (int i = 0; !isOver; i++) {
                String id = "c" + number + "-" + i;
                bed.log("send " + id);
                requests.incrementAndGet();
                Consumer.Answer answer = consumer.call(
                        "POST", "hulo84.example", "/xapu221/" + number, id, 8000, new byte[BODY_BYTES]);
                bed.log("answer " + id + " " + answer.status + ", " + answer.body.length + " bytes");
                if (answer.status == 200 && !answer.text().equals(wholeAnswers.get(id))) {
                    cutSuccesses.incrementAndGet();
                    bed.log("MIXED: " + id + " got 200 with receipt " + answer.header("server-signature") + " and "
                            + answer.body.length + " of " + wholeAnswers.get(id).length() + " bytes");
                } else if (answer.status == 200) {
                    wholeSuccesses.incrementAndGet();
                }
                Bed.sleep(20);
            }
        }
    }

    private boolean serve(Backend server, boolean isFaulty, Backend.Request request, Socket socket, OutputStream out)
            throws Exception {
        boolean breaksOff = isFaulty && isTroubled && ThreadLocalRandom.current().nextDouble() < SHARE_OF_ANSWERS;
        String whole = ("line of the receipt of " + request.id() + "\n").repeat(40);
        wholeAnswers.put(request.id(), whole);
        int length = Integer.parseInt(request.header("Content-Length"));
        request.in.readNBytes(FIRST_BYTES);
        bed.log("run " + request.id() + " at " + server.id);
        out.write(("HTTP/1.1 200 OK\r\nAttempt-Id: " + request.id() + "\r\nServer-Signature: s-" + server.id + "-"
                        + request.id() + "\r\nConnection: close\r\n\r\n")
                .getBytes(StandardCharsets.UTF_8));
        out.write(whole.substring(0, whole.length() / 2).getBytes(StandardCharsets.UTF_8));
        Bed.sleep(PAUSE_MILLIS);
        if (breaksOff) {
            resets.incrementAndGet();
            bed.log("reset of the answer to " + request.id() + " by " + server.id);
            // The rest of the request is unread, so that the close resets the connection.
            return false;
        }
        request.in.readNBytes(length - FIRST_BYTES);
        out.write(whole.substring(whole.length() / 2).getBytes(StandardCharsets.UTF_8));
        return false;
    }
}
