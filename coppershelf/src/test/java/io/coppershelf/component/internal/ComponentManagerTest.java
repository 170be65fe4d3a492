package io.coppershelf.component.internal;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.coppershelf.component.Component;
import io.coppershelf.component.ComponentRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.Test;

class ComponentManagerTest {
    private final List<String> steps = new ArrayList<>();

    private Component component(String name, String failingStep) {
        return new Component() {
            @Override
            public String name() {
                return name;
            }

            @Override
            public void register(ComponentRegistry registry) {
                step("register");
            }

            @Override
            public void start(ComponentRegistry registry) {
                step("start");
            }

            @Override
            public void announceStop() {
                step("announce");
            }

            @Override
            public void stop(Duration limit) {
                step("stop");
            }

            private void step(String step) {
                steps.add(step + " " + name);
                if (step.equals(failingStep)) {
                    throw new IllegalStateException(step);
                }
            }
        };
    }

    @Test
    void startsInOrderAndStopsInReverseOrderAfterTheAnnouncement() {
        ComponentManager manager =
                new ComponentManager(new ComponentRegistry(), List.of(component("a", ""), component("b", "")));
        manager.start();
        manager.stop(Duration.ofSeconds(1));

        assertThat(steps)
                .containsExactly(
                        "register a",
                        "register b",
                        "start a",
                        "start b",
                        "announce b",
                        "announce a",
                        "stop b",
                        "stop a")
                .inOrder();
    }

    @Test
    void stopsAllComponentsEvenIfOneFails() {
        ComponentManager manager =
                new ComponentManager(new ComponentRegistry(), List.of(component("a", ""), component("b", "stop")));
        manager.start();
        manager.stop(Duration.ofSeconds(1));

        assertThat(steps).contains("stop a");
    }

    @Test
    void stopsStartedComponentsIfOneFailsToStart() {
        ComponentManager manager = new ComponentManager(
                new ComponentRegistry(), List.of(component("a", ""), component("b", "start"), component("c", "")));

        assertThrows(IllegalStateException.class, manager::start);

        assertThat(steps).contains("stop a");
        assertThat(steps).doesNotContain("start c");
    }

    @Test
    void controlThreadContinuesAfterAFailedTask() throws InterruptedException {
        BlockingQueue<Integer> runs = new LinkedBlockingQueue<>();
        try (SingleControlThread control = new SingleControlThread()) {
            control.every(Duration.ofMillis(1), () -> {
                runs.add(1);
                throw new IllegalStateException("a failed run");
            });
            control.execute(() -> runs.add(2));

            List<Integer> seen = new ArrayList<>();
            while (seen.stream().filter(run -> run == 1).count() < 3 || !seen.contains(2)) {
                seen.add(runs.take());
            }
        }
    }
}
