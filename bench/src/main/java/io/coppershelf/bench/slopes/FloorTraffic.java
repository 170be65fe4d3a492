package io.coppershelf.bench.slopes;

import io.coppershelf.floor.internal.FloorAction;
import io.coppershelf.floor.internal.FloorCodecs;
import io.coppershelf.floor.internal.FloorMessage;
import io.coppershelf.floor.internal.FloorNode;
import io.coppershelf.membership.Vm;
import io.coppershelf.membership.internal.FleetSnapshot;
import io.coppershelf.peer.PeerMessageCodec;
import io.coppershelf.ticket.Configuration;
import io.coppershelf.ticket.ConfigurationStore;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Counts the bytes that five voters send to renew the granter leases of many services, in simulated time. */
final class FloorTraffic {
    private static final int VOTERS = 5;
    private static final int ENVELOPE_BYTES = 32;
    private static final long TICK_NANOS = Duration.ofMillis(250).toNanos();
    private static final long END_NANOS = Duration.ofSeconds(90).toNanos();
    private static final long COUNT_START_NANOS = Duration.ofSeconds(30).toNanos();

    private final List<FloorNode> nodes;
    private long bytes;

    private FloorTraffic(Configuration configuration) {
        List<Vm> vms = IntStream.range(0, VOTERS).mapToObj(SampleObjects::vm).toList();
        Set<String> ids = vms.stream().map(Vm::id).collect(Collectors.toSet());
        nodes = vms.stream()
                .map(self -> new FloorNode(new FleetSnapshot(self, vms, ids), configuration, 0))
                .toList();
    }

    static double bytesPerSecond(int services) {
        ConfigurationStore store = new ConfigurationStore();
        SampleObjects.tickets(services, SampleObjects::service).forEach(store::apply);
        FloorTraffic traffic = new FloorTraffic(store.snapshot());
        for (FloorNode node : traffic.nodes) {
            IntStream.range(0, services).forEach(i -> node.becomeCandidateIfBestRanked("service-" + i));
        }
        long bytesBefore = 0;
        for (long nowNanos = TICK_NANOS; nowNanos <= END_NANOS; nowNanos += TICK_NANOS) {
            if (nowNanos <= COUNT_START_NANOS) {
                bytesBefore = traffic.bytes;
            }
            traffic.tick(nowNanos);
        }
        return (traffic.bytes - bytesBefore) * 1e9 / (END_NANOS - COUNT_START_NANOS);
    }

    private void tick(long nowNanos) {
        for (int sender = 0; sender < nodes.size(); sender++) {
            deliver(sender, nodes.get(sender).onTick(nowNanos), nowNanos);
        }
    }

    private void deliver(int sender, List<FloorAction> actions, long nowNanos) {
        for (FloorAction action : actions) {
            if (action instanceof FloorAction.Send send) {
                int target = Integer.parseInt(send.target().substring("vm-".length()));
                bytes += target == sender ? 0 : size(send.message());
                deliver(target, nodes.get(target).onMessage("vm-" + sender, send.message(), nowNanos), nowNanos);
            }
        }
    }

    private static int size(FloorMessage message) {
        return FloorCodecs.all().stream()
                .filter(codec -> codec.type().isInstance(message))
                .mapToInt(codec -> ENVELOPE_BYTES + encodedSize(codec, message))
                .findFirst()
                .orElseThrow();
    }

    private static <T extends FloorMessage> int encodedSize(PeerMessageCodec<T> codec, FloorMessage message) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            codec.write(codec.type().cast(message), packer);
            return packer.toByteArray().length;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
