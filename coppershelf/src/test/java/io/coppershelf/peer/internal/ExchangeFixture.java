package io.coppershelf.peer.internal;

import io.coppershelf.membership.FleetView;
import io.coppershelf.membership.Vm;
import io.coppershelf.membership.internal.FleetSnapshot;
import io.coppershelf.peer.LinkFilter;
import io.coppershelf.peer.PeerMessage;
import io.coppershelf.peer.PeerMessageCodec;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Peer exchanges over real sockets, with fleet views that the test sets. */
final class ExchangeFixture implements AutoCloseable {
    private final Map<String, Vm> known = new ConcurrentHashMap<>();
    private final List<Member> members = new ArrayList<>();

    Member member(String id, LinkFilter filter) {
        Member member = new Member(id, 1, filter);
        members.add(member);
        return member;
    }

    void addToFleet(Vm vm) {
        known.put(vm.id(), vm);
    }

    @Override
    public void close() {
        members.forEach(member -> member.exchange.close());
    }

    /** One VM with its exchange. */
    final class Member implements FleetView.Source {
        final PrometheusRegistry registry = new PrometheusRegistry();
        final NioPeerExchange exchange;
        volatile Vm vm;

        private Member(String id, long incarnation, LinkFilter filter) {
            vm = new Vm(id, incarnation, "herning", "127.0.0.1", 0, 0, false);
            exchange = new NioPeerExchange(this, filter, registry, 2);
            int port = exchange.listen("127.0.0.1", 0);
            vm = new Vm(id, incarnation, "herning", "127.0.0.1", port, 0, false);
        }

        @Override
        public FleetView current() {
            return new FleetSnapshot(vm, known.values(), Set.of());
        }

        @Override
        public void onChange(Runnable listener) {}

        double dropped(DropReason reason) {
            return registry.scrape(name -> name.equals("coppershelf_peer_dropped")).stream()
                    .flatMap(snapshot -> ((CounterSnapshot) snapshot).getDataPoints().stream())
                    .filter(point -> reason.label().equals(point.getLabels().get("reason")))
                    .mapToDouble(CounterSnapshot.CounterDataPointSnapshot::getValue)
                    .sum();
        }
    }

    /** A message of any type id. */
    record Text(String text) implements PeerMessage {}

    /** Codec of {@link Text}. */
    record TextCodec(int typeId) implements PeerMessageCodec<Text> {
        @Override
        public Class<Text> type() {
            return Text.class;
        }

        @Override
        public void write(Text message, MessagePacker packer) throws IOException {
            packer.packString(message.text());
        }

        @Override
        public Text read(MessageUnpacker unpacker) throws IOException {
            return new Text(unpacker.unpackString());
        }
    }
}
