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
 * While the trouble lasts, some servers send bytes that are no response in place of some of their answers: a digit of the
 * status is missing, or there is one too many.
 */
final class SpoiledStatus {
    private static final int SERVERS = 5;
    private static final int FAULTY = 3;
    private static final double SHARE_OF_ANSWERS = 0.02;
    private static final int SLOTS = 6;
    private static final int CONSUMERS = 15;
    private static final long CALM_MILLIS = 3000;
    private static final long TROUBLE_MILLIS = 5000;
    private static final int WINDOWS = 2;
    private static final int WORK_MILLIS = 20;
    private static final int FIRST_STATUS = 100;
    private static final int LAST_STATUS = 599;

    private final Bed bed;
    private final Map<String, String> spoiled = new ConcurrentHashMap<>();
    private final AtomicInteger requests = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger noAnswers = new AtomicInteger();
    private volatile boolean isTroubled;
    private volatile boolean isOver;

    private SpoiledStatus(Bed bed) {
        this.bed = bed;
    }

    public static void main(String[] args) {
        Bed.run(Path.of(args[0]), bed -> new SpoiledStatus(bed).run());
    }

    private boolean run() throws Exception {
        bed.configure("{\"version\":7,\"routes\":{\"r-claim\":{\"host\":\"hulo84.example\",\"path_prefix\":\"/xapu221/\","
                + "\"kind\":\"unsafe\",\"timeout_s\":6,\"target_latency_s\":2,\"priority\":1,\"service\":\"vagtbank\","
                + "\"max_attempts\":2}},\"services\":{\"vagtbank\":{\"health_path\":\"/health\",\"max_conns\":330,"
                + "\"protocol\":\"h1\",\"tls\":false}},\"limits\":{\"max_header_bytes\":16384,"
                + "\"max_body_bytes\":67108864,\"header_timeout_s\":3,\"idle_timeout_s\":15}}");
        for (int i = 0; i < SERVERS; i++) {
            boolean isFaulty = i < FAULTY;
            bed.register(new Backend("i-" + i, "vagtbank", "herning", SLOTS, (self, request, socket, out) ->
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
            bed.log(isTroubled ? "servers i-0 to i-2 spoil answers from now on" : "no trouble");
            Bed.sleep(TROUBLE_MILLIS);
            isTroubled = false;
            bed.log("end of the trouble");
        }
        isOver = true;
        Bed.sleep(1000);
        bed.log("requests " + requests + ", served " + served + ", answers spoiled by servers " + spoiled.size()
                + ", consumers that got bytes that are no answer " + noAnswers);
        if (served.get() == 0) {
            throw new IllegalStateException("no request was served");
        }
        return noAnswers.get() > 0;
    }

    private void consume(int number) {
        try (Consumer consumer = new Consumer(bed, 0)) {
            for (int i = 0; !isOver; i++) {
                String id = "c" + number + "-" + i;
                bed.log("send " + id);
                requests.incrementAndGet();
                Consumer.Answer answer =
                        consumer.call("POST", "hulo84.example", "/xapu221/" + number, id, 12000, new byte[400]);
                bed.log("answer " + id + " " + answer.status);
                boolean isAnswer = answer.status >= FIRST_STATUS && answer.status <= LAST_STATUS;
                if (answer.status == 200) {
                    served.incrementAndGet();
                } else if (!isAnswer && !answer.headers.isEmpty()) {
                    noAnswers.incrementAndGet();
                    bed.log("MIXED: " + id + " got the status line '" + answer.statusLine + "' with receipt '"
                            + answer.header("server-signature") + "'; the server sent '" + spoiled.get(id) + "'");
                }
                Bed.sleep(10);
            }
        }
    }

    private boolean serve(Backend server, boolean isFaulty, Backend.Request request, Socket socket, OutputStream out)
            throws Exception {
        request.readBody();
        bed.log("run " + request.id() + " at " + server.id);
        Bed.sleep(WORK_MILLIS);
        String answer = new String(
                Backend.answer(
                        200,
                        "OK",
                        request.id(),
                        "Server-Signature: s-" + server.id + "-" + request.id() + "\r\n",
                        "claimed " + request.id()),
                StandardCharsets.UTF_8);
        if (isFaulty && isTroubled && ThreadLocalRandom.current().nextDouble() < SHARE_OF_ANSWERS) {
            answer = answer.replaceFirst("200", ThreadLocalRandom.current().nextBoolean() ? "20" : "2000");
            spoiled.put(request.id(), answer.substring(0, answer.indexOf('\r')));
        }
        out.write(answer.getBytes(StandardCharsets.UTF_8));
        return true;
    }
}
