package io.coppershelf.eventlog;

/**
 * A task that is run at intervals and logs its exceptions. Executors end a periodic task at its first exception,
 * without a trace.
 */
public final class LoggedTask implements Runnable {
    private final String name;
    private final Runnable task;
    private final EventLog log;

    /**
     * Creates a task.
     *
     * @param name the name in the log
     */
    public LoggedTask(String name, Runnable task, EventLog log) {
        this.name = name;
        this.task = task;
        this.log = log;
    }

    @Override
    public void run() {
        try {
            task.run();
        } catch (RuntimeException e) {
            log.important("task-failed", Fields.of("task", name, "reason", e.toString()));
        }
    }
}
