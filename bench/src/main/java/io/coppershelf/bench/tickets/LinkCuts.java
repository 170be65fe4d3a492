package io.coppershelf.bench.tickets;

import io.coppershelf.component.Component;
import io.coppershelf.component.ComponentRegistry;
import io.coppershelf.component.ControlThread;
import io.coppershelf.peer.LinkFilter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Cuts links between VMs as a file says that the bench rewrites: on each line the senders, {@code >} and the receivers
 * of the messages that are lost, ids with commas.
 */
final class LinkCuts implements Component, LinkFilter {
    private static final Duration READ_INTERVAL = Duration.ofMillis(100);

    private final Path file;
    private volatile List<Cut> cuts = List.of();

    LinkCuts(Path file) {
        this.file = file;
    }

    @Override
    public boolean passes(String from, String to) {
        return cuts.stream().noneMatch(cut -> cut.from.contains(from) && cut.to.contains(to));
    }

    @Override
    public String name() {
        return "cuts";
    }

    @Override
    public void register(ComponentRegistry registry) {
        registry.register(LinkFilter.NAME, this);
    }

    @Override
    public void start(ComponentRegistry registry) {
        registry.require(ControlThread.NAME).every(READ_INTERVAL, this::read);
    }

    @Override
    public void stop(Duration limit) {}

    private void read() {
        try {
            List<Cut> read = new ArrayList<>();
            for (String line : Files.readAllLines(file)) {
                int arrow = line.indexOf('>');
                if (arrow > 0) {
                    read.add(new Cut(ids(line.substring(0, arrow)), ids(line.substring(arrow + 1))));
                }
            }
            cuts = List.copyOf(read);
        } catch (IOException e) {
            cuts = List.of();
        }
    }

    private static Set<String> ids(String list) {
        return Set.of(list.strip().split(","));
    }

    private record Cut(Set<String> from, Set<String> to) {}
}
