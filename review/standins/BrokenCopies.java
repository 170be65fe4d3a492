package review;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.ZoneOffset;
import java.time.ZonedDateTime;
import java.time.format.DateTimeFormatter;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Servers of a busy service run orders and refuse those for which they have no place. While the trouble lasts, some of
 * them send a second copy of a refusal right behind it, and break the copy off at a random byte.
 */
final class BrokenCopies {
    private static final int GATEWAYS = 3;
    private static final int SERVERS = 10;
    private static final int FAULTY = 6;
    /** Largest share of the answers of a faulty server that it spoils. */
    private static final double SHARE_OF_ANSWERS = 0.03;
    private static final int SLOTS = 2;
    private static final int QUEUE = 1;
    private static final int WORK_MILLIS = 10;
    private static final int CONSUMERS = 30;
    private static final long CALM_MILLIS = 3000;
    private static final long TROUBLE_MILLIS = 5000;
    private static final int WINDOWS = 4;

    private final Bed bed;
    private final Map<String, List<String>> runs = new ConcurrentHashMap<>();
    private final Map<String, String> answers = new ConcurrentHashMap<>();
    private final Map<Backend, Places> places = new ConcurrentHashMap<>();
    private final AtomicInteger copies = new AtomicInteger();
    private volatile boolean isTroubled;
    private volatile boolean isOver;

    private static final class Places {
        final Semaphore slots = new Semaphore(SLOTS, true);
        final AtomicInteger present = new AtomicInteger();
        final AtomicInteger answers = new AtomicInteger();
        final AtomicInteger copies = new AtomicInteger();

        /** Returns whether one more copy stays within the share of the answers. */
        boolean mayCopy() {
            return copies.get() + 1 <= SHARE_OF_ANSWERS * answers.get();
        }
    }

    private BrokenCopies(Bed bed) {
        this.bed = bed;
    }

    public static void main(String[] args) {
        Bed.run(Path.of(args[0]), bed -> new BrokenCopies(bed).run());
    }

    private boolean run() throws Exception {
        bed.configure("{\"version\":7,\"routes\":{\"r-claim\":{\"host\":\"hulo84.example\",\"path_prefix\":\"/xapu221/\","
                + "\"kind\":\"unsafe\",\"timeout_s\":6,\"target_latency_s\":2,\"priority\":1,\"service\":\"vagtbank\","
                + "\"max_attempts\":2}},\"services\":{\"vagtbank\":{\"health_path\":\"/health\",\"max_conns\":330,"
                + "\"protocol\":\"h1\",\"tls\":false}},\"limits\":{\"max_header_bytes\":16384,"
                + "\"max_body_bytes\":67108864,\"header_timeout_s\":3,\"idle_timeout_s\":15}}");
        for (int i = 0; i < SERVERS; i++) {
            boolean isFaulty = i < FAULTY;
            Backend server = new Backend(
                    "i-" + i, "vagtbank", "herning", SLOTS, (self, request, socket, out) ->
                            serve(self, isFaulty, request, socket, out));
            places.put(server, new Places());
            bed.register(server);
        }
        bed.startGateways(GATEWAYS);
        for (int i = 0; i < CONSUMERS; i++) {
            int number = i;
            Bed.daemon("consumer-" + i, () -> consume(number));
        }
        for (int i = 0; i < WINDOWS; i++) {
            Bed.sleep(CALM_MILLIS);
            isTroubled = Bed.HAS_TROUBLE;
            bed.log(isTroubled ? "servers i-0 to i-5 send second copies of answers from now on" : "no trouble");
            Bed.sleep(TROUBLE_MILLIS);
            isTroubled = false;
            bed.log("end of the trouble");
        }
        isOver = true;
        Bed.sleep(1500);
        return judge();
    }

    private boolean judge() {
        int twice = 0;
        int refusedAndRun = 0;
        for (Map.Entry<String, List<String>> run : runs.entrySet()) {
            String answer = answers.getOrDefault(run.getKey(), "none");
            if (run.getValue().size() > 1) {
                twice++;
                bed.log("TWICE: " + run.getKey() + " ran at " + run.getValue() + ", answer " + answer);
            } else if (answer.equals("503") || answer.equals("429")) {
                refusedAndRun++;
                bed.log("REFUSED: " + run.getKey() + " ran at " + run.getValue() + ", answer " + answer);
            }
        }
        bed.log("requests " + answers.size() + ", run " + runs.size() + ", broken copies sent " + copies
                + ", run twice " + twice + ", refused and run " + refusedAndRun);
        return twice > 0;
    }

    private void consume(int number) {
        try (Consumer consumer = new Consumer(bed, number % GATEWAYS)) {
            for (int i = 0; !isOver; i++) {
                String id = "c" + number + "-" + i;
                bed.log("send " + id);
                Consumer.Answer answer =
                        consumer.call("POST", "hulo84.example", "/xapu221/" + number, id, 12000, new byte[400]);
                answers.put(id, Integer.toString(answer.status));
                bed.log("answer " + id + " " + answer.status);
                Bed.sleep(answer.status == 200 ? 5 : 20);
            }
        }
    }

    private boolean serve(Backend server, boolean isFaulty, Backend.Request request, Socket socket, OutputStream out)
            throws Exception {
        request.readBody();
        Places own = places.get(server);
        int present = own.present.incrementAndGet();
        byte[] answer;
        boolean isRefused = present > SLOTS + QUEUE;
        try {
            if (isRefused) {
                answer = answer("503 Service Unavailable", "Not-Executed: 1\r\n", own, request.id(), "");
            } else {
                own.slots.acquire();
                try {
                    runs.computeIfAbsent(request.id(), id -> new ArrayList<>()).add(server.id);
                    bed.log("run " + request.id() + " at " + server.id);
                    Bed.sleep(WORK_MILLIS);
                    String receipt = "Server-Signature: s-" + server.id + "-" + request.id() + "\r\n";
                    answer = answer("200 OK", receipt, own, request.id(), "claimed " + request.id());
                } finally {
                    own.slots.release();
                }
            }
        } finally {
            own.present.decrementAndGet();
        }
        boolean isSpoiling = isFaulty && isTroubled;
        if (isSpoiling) {
            own.answers.incrementAndGet();
        }
        if (isSpoiling && isRefused && own.mayCopy()) {
            int length = 1 + ThreadLocalRandom.current().nextInt(answer.length - 1);
            ByteArrayOutputStream both = new ByteArrayOutputStream();
            both.write(answer);
            both.write(answer, 0, length);
            own.copies.incrementAndGet();
            copies.incrementAndGet();
            bed.log("second copy of the answer to " + request.id() + " by " + server.id + ", broken off after " + length
                    + " bytes: " + new String(answer, 0, length, StandardCharsets.UTF_8).replace("\r\n", "|"));
            out.write(both.toByteArray());
        } else {
            out.write(answer);
        }
        return true;
    }

    private static byte[] answer(String status, String marks, Places places, String id, String body) {
        int running = SLOTS - places.slots.availablePermits();
        String load = running + "," + Math.max(0, places.present.get() - running) + "," + SLOTS;
        return ("HTTP/1.1 " + status + "\r\n" + marks + "Server-Load: " + load + "\r\nDate: "
                        + DateTimeFormatter.RFC_1123_DATE_TIME.format(ZonedDateTime.now(ZoneOffset.UTC))
                        + "\r\nAttempt-Id: " + id
                        + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.UTF_8);
    }
}
