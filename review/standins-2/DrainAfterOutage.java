import io.coppershelf.adapter.StoreStandIn;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The entry of one server is removed while the store is stable. With the disruption the store was down before, and has
 * been back for the stable window when the entry goes.
 */
final class DrainAfterOutage {
    private static final int GATEWAYS = 2;
    private static final int CALLERS = 24;
    private static final double STORE_DOWN_AT = 8;
    private static final double STORE_BACK_AT = 16;
    private static final double STABLE_WINDOW = 3;
    /** So that the removal comes later than the stable window, and not at its end. */
    private static final double MARGIN = 0.05;
    private static final double DRAIN = 2;
    private static final double END = 25;

    private final Recorder record;
    private final Deployment deployment;
    private final boolean isTrouble;

    private DrainAfterOutage(Recorder record, Deployment deployment, boolean isTrouble) {
        this.record = record;
        this.deployment = deployment;
        this.isTrouble = isTrouble;
    }

    public static void main(String[] args) {
        Cases.run(Path.of(args[0]), (record, deployment, isTrouble) ->
                new DrainAfterOutage(record, deployment, isTrouble).run());
    }

    private boolean run() throws IOException, InterruptedException {
        deployment.publish(
                7,
                Deployment.route("read", "safe", 5, 2, "view") + "," + Deployment.route("claim", "unsafe", 6, 2, "view"),
                Deployment.service("view"),
                Cases.LIMITS);
        List<Backend> servers = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            servers.add(deployment.addServer("i-" + i, "view", 6, 30));
        }
        deployment.startGateways(GATEWAYS);
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            int number = i;
            callers.add(Threads.start("caller-" + i, () -> callOften(number)));
        }
        await(STORE_DOWN_AT);
        if (isTrouble) {
            deployment.storeFault(StoreStandIn.Fault.SILENT);
        }
        await(STORE_BACK_AT);
        if (isTrouble) {
            deployment.storeFault(StoreStandIn.Fault.NONE);
        }
        await(STORE_BACK_AT + STABLE_WINDOW + MARGIN);
        Backend leaving = servers.get(0);
        int runsBefore = leaving.runs();
        double removedAt = record.now();
        deployment.removeEntry(leaving);
        for (Thread caller : callers) {
            caller.join();
        }
        double lastAfter = leaving.lastRunAt() - removedAt;
        record.tell(
                "requests that reached %s after its entry was removed: %d, the last one %.3f s later; %.1f s are allowed",
                leaving.id(), leaving.runs() - runsBefore, lastAfter, DRAIN);
        for (Deployment.Gateway gateway : deployment.gateways()) {
            gateway.logLines("servers-changed").forEach(line -> record.write("gateway log: %s", line));
        }
        return lastAfter <= DRAIN;
    }

    private void await(double seconds) {
        while (record.now() < seconds) {
            Threads.sleep(Math.max(1, Math.round(1000 * (seconds - record.now()))));
        }
    }

    private void callOften(int number) {
        Deployment.Gateway gateway = deployment.gateways().get(number % GATEWAYS);
        try (Caller caller = new Caller(gateway.address())) {
            for (int i = 0; record.now() < END; i++) {
                String id = "c" + number + "-" + i;
                Caller.Outcome outcome = i % 2 == 0
                        ? caller.call("GET", "/read/2f", id, 10_000, "", new byte[0])
                        : caller.call("POST", "/claim/2f", id, 10_000, "", new byte[400]);
                record.write("answer %s by gateway %d: %d", id, number % GATEWAYS + 1, outcome.status());
                Threads.sleep(outcome.status() == 200 ? 120 : 300);
            }
        }
    }
}
