import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Consumers with kept connections send small requests through one gateway, while others upload large bodies one after
 * the other. With the disruption the uploading consumers leave before they have their answers.
 */
final class AbandonedUploads {
    private static final int SMALL_CALLERS = 56;
    /** Three of ten consumers. */
    private static final int UPLOADERS = 24;
    /** The sizes of the bodies, one after the other. */
    private static final int[] BODY_BYTES = {
        700_000, 700_000, 700_000, 700_000, 400_000, 100_000, 50_000, 20_000, 10_000, 4_000, 4_000
    };
    private static final double UPLOADS_START = 7;
    private static final double UPLOADS_END = 12.5;
    private static final double END = 25;
    /** Seconds from one upload of a consumer to its next one. */
    private static final double UPLOAD_PERIOD = 0.2;
    /** The rule counts from eight requests on. */
    private static final int MIN_UNANSWERED = 8;
    private static final double READ_TIMEOUT = 2.5;
    private static final double CLAIM_TIMEOUT = 3;
    /** The rule allows an answer this long after the timeout of the route. */
    private static final double SLACK = 0.5;
    private static final int LEAVE_MILLIS = 100;
    private static final int DEADLINE_MILLIS = 10_000;

    private final Recorder record;
    private final Deployment deployment;
    private final boolean isTrouble;
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();
    private final AtomicInteger unansweredAtTimeout = new AtomicInteger();
    private final AtomicInteger unansweredLater = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger uploads = new AtomicInteger();

    private AbandonedUploads(Recorder record, Deployment deployment, boolean isTrouble) {
        this.record = record;
        this.deployment = deployment;
        this.isTrouble = isTrouble;
    }

    public static void main(String[] args) throws Exception {
        Cases.run(Path.of(args[0]), (record, deployment, isTrouble) ->
                new AbandonedUploads(record, deployment, isTrouble).run());
    }

    private boolean run() throws IOException, InterruptedException {
        deployment.publish(
                7,
                Deployment.route("read", "safe", READ_TIMEOUT, 2, "view") + "," + Deployment.route("claim", "unsafe", CLAIM_TIMEOUT, 2, "view")
                        + "," + Deployment.route("upload", "upload", 10, 4, "intake"),
                Deployment.service("view") + "," + Deployment.service("intake"),
                Cases.LIMITS);
        for (int i = 0; i < 8; i++) {
            deployment.addServer("i-v" + i, "view", 6, 60);
            deployment.addServer("i-u" + i, "intake", 6, 150);
        }
        deployment.startGateways(1);
        Deployment.Gateway gateway = deployment.gateways().get(0);
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < SMALL_CALLERS; i++) {
            int number = i;
            callers.add(Threads.start("small-" + i, () -> callOften(gateway, number)));
        }
        for (int i = 0; i < UPLOADERS; i++) {
            int number = i;
            callers.add(Threads.start("upload-" + i, () -> uploadOften(gateway, number)));
        }
        for (Thread caller : callers) {
            caller.join();
        }
        record.tell(
                "small requests without an answer at the timeout of their route: %d; of these, without one %.1f s later: %d",
                unansweredAtTimeout.get(), SLACK, unansweredLater.get());
        boolean isAlive = gateway.isAlive();
        boolean isReady = gateway.isReady();
        record.tell(
                "uploads %d; small requests: sent %d, answered %d, no answer %d; of these passed on to a sound server"
                        + " and the kept connection closed: %d",
                uploads.get(), sent.get(), answered.get(), unanswered.get(), lost.get());
        record.tell("gateway at the end: %s, %s", isAlive ? "runs" : "has ended", isReady ? "ready" : "not ready");
        for (String line : gateway.logLines("OutOfMemory")) {
            record.write("gateway log: %s", line);
        }
        record.tell("lines of the gateway's log that tell of exhausted memory: %d", gateway.logLines("OutOfMemory").size());
        return unansweredLater.get() < MIN_UNANSWERED || unansweredLater.get() * 2 <= unansweredAtTimeout.get();
    }

    private void uploadOften(Deployment.Gateway gateway, int number) {
        double next = UPLOADS_START + number * UPLOAD_PERIOD / UPLOADERS;
        for (int i = 0; next < UPLOADS_END; i++) {
            Threads.sleep(Math.max(0, Math.round(1000 * (next - record.now()))));
            double share = (next - UPLOADS_START) / (UPLOADS_END - UPLOADS_START);
            upload(gateway, "u" + number + "-" + i, BODY_BYTES[(int) (share * BODY_BYTES.length)]);
            next += UPLOAD_PERIOD;
        }
    }

    private void upload(Deployment.Gateway gateway, String id, int bodyBytes) {
        uploads.incrementAndGet();
        byte[] body = new byte[bodyBytes];
        try (Caller caller = new Caller(gateway.address())) {
            if (!isTrouble) {
                Caller.Outcome outcome = caller.call("POST", "/upload/2f", id, DEADLINE_MILLIS, "", body);
                record.write("upload %s: %d %s", id, outcome.status(), outcome.detail());
                return;
            }
            caller.open();
            caller.send("POST", "/upload/2f", id, DEADLINE_MILLIS, "", body);
            Threads.sleep(LEAVE_MILLIS);
            record.write("upload %s: sent, its consumer leaves", id);
        } catch (IOException e) {
            record.write("upload %s: %s", id, e.getMessage());
        }
    }

    private void callOften(Deployment.Gateway gateway, int number) {
        try (Caller caller = new Caller(gateway.address())) {
            for (int i = 0; record.now() < END; i++) {
                String id = "s" + number + "-" + i;
                boolean isSafe = (number + i) % 2 == 0;
                sent.incrementAndGet();
                double start = record.now();
                Caller.Outcome outcome = isSafe
                        ? caller.call("GET", "/read/2f", id, DEADLINE_MILLIS, "", new byte[0])
                        : caller.call("POST", "/claim/2f", id, DEADLINE_MILLIS, "", new byte[400]);
                record(id, outcome, record.now() - start, isSafe ? READ_TIMEOUT : CLAIM_TIMEOUT);
                Threads.sleep(outcome.status() == 200 ? 300 : 500);
            }
        }
    }

    private void record(String id, Caller.Outcome outcome, double seconds, double timeout) {
        if (seconds >= timeout) {
            unansweredAtTimeout.incrementAndGet();
            record.write("%s took %.2f s, the timeout of its route is %.1f s", id, seconds, timeout);
        }
        if (seconds >= timeout + SLACK) {
            unansweredLater.incrementAndGet();
        }
        if (outcome.status() > 0) {
            answered.incrementAndGet();
            record.write("answer %s: %d", id, outcome.status());
            return;
        }
        unanswered.incrementAndGet();
        boolean wasPassedOn = deployment.servers().stream().anyMatch(server -> server.hasRun(id));
        if (wasPassedOn && outcome.wasKept() && outcome.isClosed()) {
            lost.incrementAndGet();
        }
        record.write("no answer %s: %s (passed on: %s, kept: %s)", id, outcome.detail(), wasPassedOn, outcome.wasKept());
    }
}
