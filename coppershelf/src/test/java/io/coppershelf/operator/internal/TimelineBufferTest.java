package io.coppershelf.operator.internal;

import static com.google.common.truth.Truth.assertThat;

import io.coppershelf.component.TimeSource;
import io.coppershelf.operator.StampedEvent;
import io.coppershelf.operator.Timeline.Event;
import io.coppershelf.operator.TimelineDocument;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class TimelineBufferTest {
    private final TimelineBuffer buffer =
            new TimelineBuffer(new HybridLogicalClock(TimeSource.system()), "herning-1", 3);

    @Test
    void keepsTheLatestEventsInOrderAndReportsTheLastOverwrittenOne() {
        IntStream.rangeClosed(1, 5).forEach(i -> buffer.record(Event.of("peer", "event " + i)));

        List<StampedEvent> events = buffer.after(0, 10);

        assertThat(events.stream().map(event -> event.event().text()).toList())
                .containsExactly("event 3", "event 4", "event 5")
                .inOrder();
        assertThat(events).isInStrictOrder();
        assertThat(buffer.overwritten()).isLessThan(events.get(0).stamp());
        assertThat(buffer.after(events.get(1).stamp(), 10)).containsExactly(events.get(2));
        assertThat(buffer.after(0, 1)).containsExactly(events.get(0));
    }

    @Test
    void writesDocumentThatReadsBackTheSame() {
        buffer.record(Event.of("health", "Ejected.")
                .ofService("rotavis")
                .ofServer("rotavis-3")
                .ofRequest("r-1")
                .ofTicket(12));
        buffer.record(Event.of("peer", "x".repeat(1000)));
        TimelineDocument document = new TimelineDocument("herning-1", 77, buffer.overwritten(), buffer.after(0, 10));

        assertThat(TimelineDocument.fromJson(document.toJson())).isEqualTo(document);
        assertThat(document.events().get(1).event().text()).hasLength(300);
    }
}
