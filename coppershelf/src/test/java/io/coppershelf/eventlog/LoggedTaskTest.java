package io.coppershelf.eventlog;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against periodic tasks, such as the reading of the platform, that end at their first exception. */
final class LoggedTaskTest {
    @Test
    void taskRunsAgainAfterAnExceptionWhichIsLogged() throws InterruptedException {
        List<String> logged = new CopyOnWriteArrayList<>();
        CountDownLatch runs = new CountDownLatch(2);
        ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();
        Runnable task = new LoggedTask(
                "tick",
                () -> {
                    runs.countDown();
                    throw new IllegalStateException("failed");
                },
                (importance, event, fields) -> logged.add(event + " " + fields.get("task")));
        executor.scheduleWithFixedDelay(task, 0, 1, TimeUnit.MILLISECONDS);
        assertThat(runs.await(10, TimeUnit.SECONDS)).isTrue();
        executor.shutdownNow();
        assertThat(logged).contains("task-failed tick");
    }
}
