/** Starts threads that end with the case. */
final class Threads {
    private Threads() {}

    static Thread start(String name, Runnable task) {
        Thread thread = new Thread(null, task, name, 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
