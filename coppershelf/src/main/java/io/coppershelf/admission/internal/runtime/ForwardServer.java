package io.coppershelf.admission.internal.runtime;

import io.coppershelf.admission.AttemptSender.AttemptExchange;
import io.coppershelf.component.TimeSource;
import io.coppershelf.peer.PeerExchange;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/** Serves attempts that other VMs forward to this one. */
final class ForwardServer {
    private final LocalGroups groups;
    private final ConcurrentMap<ForwardKey, AttemptExchange> inFlight = new ConcurrentHashMap<>();

    ForwardServer(LocalGroups groups) {
        this.groups = groups;
    }

    /** Registers the messages of the forward protocol. */
    void register(PeerExchange peers, TimeSource time) {
        peers.register(new ForwardReplyCodec());
        peers.register(new ForwardRequestCodec(time), this::serve);
        peers.register(new ForwardCancelCodec(), (sender, message, replies) -> cancel(sender, message));
    }

    private void serve(String sender, ForwardRequest message, PeerExchange.Replies replies) {
        ForwardKey key = new ForwardKey(sender, message.request().attemptId());
        AttemptExchange exchange = groups.submit(message.request());
        inFlight.put(key, exchange);
        var unused = exchange.result().thenAccept(result -> {
            inFlight.remove(key, exchange);
            replies.reply(new ForwardReply(message.request().attemptId(), result));
        });
    }

    private void cancel(String sender, ForwardCancel message) {
        AttemptExchange exchange = inFlight.get(new ForwardKey(sender, message.attemptId()));
        if (exchange != null) {
            exchange.cancel();
        }
    }

    /** Identifies an attempt by its sender, as a VM may cancel only its own attempts. */
    private record ForwardKey(String sender, String attemptId) {}
}
