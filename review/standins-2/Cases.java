import java.nio.file.Path;

/** Runs a case: exit code 0 if the rule held, 1 if it was broken, 2 if the case couldn't run. */
final class Cases {
    static final String LIMITS = "\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_s\":3,"
            + "\"idle_timeout_s\":15";

    private Cases() {}

    /** The body of a case. */
    interface Body {
        /** Returns whether the rule held. */
        boolean run(Recorder record, Deployment deployment, boolean isTrouble) throws Exception;
    }

    /**
     * Runs a case.
     *
     * @param recordFile receives what was sent, answered and run
     */
    static void run(Path recordFile, Body body) {
        boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
        int code;
        try (Recorder record = new Recorder(recordFile)) {
            try (Deployment deployment = new Deployment(record)) {
                Runtime.getRuntime().addShutdownHook(new Thread(() -> closeQuietly(deployment)));
                code = body.run(record, deployment, isTrouble) ? 0 : 1;
            }
            record.tell("disruption: %s; the rule %s", isTrouble ? "yes" : "no", code == 0 ? "held" : "was broken");
        } catch (Exception e) {
            e.printStackTrace();
            code = 2;
        }
        System.exit(code);
    }

    private static void closeQuietly(Deployment deployment) {
        try {
            deployment.close();
        } catch (Exception e) {
            // The processes have ended already.
        }
    }
}
