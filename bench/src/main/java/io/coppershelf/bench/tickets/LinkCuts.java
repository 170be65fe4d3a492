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
 * Drops messages between VMs according to a file that the bench rewrites while the daemon runs. Each line names the
 * senders, then {@code >}, then the receivers of the dropped messages; VM ids are separated by commas. No message is
 * dropped while the file can't be read.
 */
final class LinkCuts implements Component, LinkFilter {
    private static final Duration RELOAD_INTERVAL = Duration.ofMillis(100);

    private final Path file;
    private volatile List<Cut> cuts = List.of();

    LinkCuts(Path file) {
        this.file = file;
    }

    @Override
    public boolean passes(String from, String to) {
        return cuts.stream().noneMatch(cut -> cut.senders.contains(from) && cut.receivers.contains(to));
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
        registry.require(ControlThread.NAME).every(RELOAD_INTERVAL, this::reload);
    }

    @Override
    public void stop(Duration limit) {}

    private void reload() {
        try {
            List<Cut> parsed = new ArrayList<>();
            for (String line : Files.readAllLines(file)) {
                int arrow = line.indexOf('>');
                if (arrow > 0) {
                    parsed.add(new Cut(parseIds(line.substring(0, arrow)), parseIds(line.substring(arrow + 1))));
                }
            }
            cuts = List.copyOf(parsed);
        } catch (IOException e) {
            cuts = List.of();
        }
    }

    private static Set<String> parseIds(String list) {
        return Set.of(list.strip().split(","));
    }

    private record Cut(Set<String> senders, Set<String> receivers) {}
}
