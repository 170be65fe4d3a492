import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Consumers with kept connections send small requests, and some larger ones that the configuration in force allows.
 * With the disruption, that configuration has replaced one with a lower limit before; else it is the first one.
 */
final class RaisedLimit {
    private static final int CALLERS = 40;
    private static final int OLD_LIMIT = 1_000_000;
    private static final int NEW_LIMIT = 67_108_864;
    private static final int LARGE_BYTES = 1_200_000;
    private static final double CHANGE_AT = 6;
    private static final double CONFIG_APPLY = 2;
    /** Large bodies are sent only long after the change has to be in force. */
    private static final double LARGE_FROM = CHANGE_AT + CONFIG_APPLY + 3;
    private static final double END = 25;
    private static final int STATUS_TOO_LARGE = 413;

    private final Recorder record;
    private final Deployment deployment;
    private final boolean isTrouble;
    private final AtomicInteger requests = new AtomicInteger();
    private final AtomicInteger large = new AtomicInteger();
    private final AtomicInteger denied = new AtomicInteger();

    private RaisedLimit(Recorder record, Deployment deployment, boolean isTrouble) {
        this.record = record;
        this.deployment = deployment;
        this.isTrouble = isTrouble;
    }

    public static void main(String[] args) {
        Cases.run(Path.of(args[0]), (record, deployment, isTrouble) ->
                new RaisedLimit(record, deployment, isTrouble).run());
    }

    private boolean run() throws IOException, InterruptedException {
        publish(7, isTrouble ? OLD_LIMIT : NEW_LIMIT);
        for (int i = 0; i < 4; i++) {
            deployment.addServer("i-" + i, "view", 6, 30);
        }
        deployment.startGateways(1);
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            int number = i;
            callers.add(Threads.start("caller-" + i, () -> callOften(number)));
        }
        while (record.now() < CHANGE_AT) {
            Threads.sleep(10);
        }
        if (isTrouble) {
            publish(8, NEW_LIMIT);
        }
        for (Thread caller : callers) {
            caller.join();
        }
        double allowed = 5 + requests.get() / 500.0;
        record.tell(
                "requests %d, of these %d with bodies that the configuration in force allows and the older one does not;"
                        + " answered with 413: %d; allowed are %.1f",
                requests.get(), large.get(), denied.get(), allowed);
        return denied.get() <= allowed;
    }

    private void publish(int version, int maxBodyBytes) {
        deployment.publish(
                version,
                Deployment.route("claim", "unsafe", 6, 2, "view"),
                Deployment.service("view"),
                "\"max_header_bytes\":16384,\"max_body_bytes\":" + maxBodyBytes
                        + ",\"header_timeout_s\":3,\"idle_timeout_s\":15");
        record.tell("%.3f version %d allows bodies of %d bytes", record.now(), version, maxBodyBytes);
    }

    private void callOften(int number) {
        try (Caller caller = new Caller(deployment.gateways().get(0).address())) {
            for (int i = number; record.now() < END; i++) {
                String id = "c" + number + "-" + i;
                boolean isLarge = i % 20 == 0 && record.now() >= LARGE_FROM;
                if (isLarge) {
                    large.incrementAndGet();
                }
                requests.incrementAndGet();
                Caller.Outcome outcome =
                        caller.call("POST", "/claim/2f", id, 12_000, "", new byte[isLarge ? LARGE_BYTES : 400]);
                record.write("%s (%s body): %d %s", id, isLarge ? "large" : "small", outcome.status(), outcome.detail());
                if (outcome.status() == STATUS_TOO_LARGE) {
                    denied.incrementAndGet();
                }
                Threads.sleep(400);
            }
        }
    }
}
