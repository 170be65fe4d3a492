package io.coppershelf.quota;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * The part of one VM in the usage caps: borrower for the requests that it receives and granter for the tenants whose
 * tokens it lends. Messages to itself are handled at once. Free of I/O and clocks; not thread-safe.
 */
public final class QuotaNode {
    /** Time without an event after which this VM was paused: other VMs may have taken its place. */
    private static final long PAUSE_NANOS = TimeUnit.SECONDS.toNanos(2);

    private static final long SWEEP_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    private final TenantOrders orders;
    private final EarlierBuilds earlierBuilds = new EarlierBuilds();
    private final Granter granter;
    private final Borrower borrower;
    private final Deque<QuotaAction> queued = new ArrayDeque<>();
    private long lastEventNanos;
    private long sweptNanos;
    private long lastProbe;

    /** Creates the part of a VM that has just started. */
    public QuotaNode(TenantCaps caps, FleetView view, Random random, long nowNanos) {
        orders = new TenantOrders(view);
        SilentVms silent = new SilentVms();
        granter = new Granter(caps, orders, earlierBuilds, silent, nowNanos);
        borrower = new Borrower(caps, orders, silent, random);
        lastEventNanos = nowNanos;
        sweptNanos = nowNanos;
    }

    /** Uses a new view of the fleet. */
    public void use(FleetView view, long nowNanos) {
        advance(nowNanos);
        boolean isLiveChanged = !view.live().equals(orders.view().live());
        if (!isLiveChanged && view.liveShare() == orders.view().liveShare()) {
            return;
        }
        orders.use(view);
        earlierBuilds.retain(view.live());
        granter.viewChanged(isLiveChanged, nowNanos);
        if (isLiveChanged) {
            borrower.viewChanged();
        }
    }

    /** Requests a token for a request; its number comes back in the action that admits or refuses it. */
    public List<QuotaAction> acquire(String tenant, long requestNumber, long nowNanos) {
        advance(nowNanos);
        borrower.acquire(tenant, requestNumber, nowNanos, queued::addLast);
        return actions(nowNanos);
    }

    /** Forgets a waiting request whose caller has left. */
    public void cancel(String tenant, long requestNumber) {
        borrower.cancel(tenant, requestNumber);
    }

    /** Returns the token of a request that did not run. */
    public void giveBack(Token token, long nowNanos) {
        borrower.giveBack(token, nowNanos);
    }

    /** Applies a message of another VM. */
    public List<QuotaAction> receive(InetSocketAddress sender, QuotaMessage message, long nowNanos) {
        advance(nowNanos);
        earlierBuilds.recordTokens(sender);
        apply(sender, message, nowNanos);
        return actions(nowNanos);
    }

    /** Records an answer of another kind, which shows that messages pass in both directions. */
    public void recordContact(InetSocketAddress sender) {
        earlierBuilds.recordContact(sender);
    }

    /** Applies the passage of time; to be called every 10 ms while {@link #isPending}, else every 50 ms. */
    public List<QuotaAction> tick(long nowNanos) {
        advance(nowNanos);
        borrower.tick(nowNanos, queued::addLast);
        if (nowNanos - sweptNanos >= SWEEP_NANOS) {
            sweptNanos = nowNanos;
            borrower.sweep(nowNanos, queued::addLast);
            granter.sweep(nowNanos);
        }
        return actions(nowNanos);
    }

    /** Returns whether requests wait or messages have no answer. */
    public boolean isPending() {
        return borrower.isPending();
    }

    /** Returns the number of tenants with state. */
    public int tenants() {
        return Math.max(borrower.size(), granter.size());
    }

    private void advance(long nowNanos) {
        if (nowNanos - lastEventNanos > PAUSE_NANOS) {
            granter.restart(nowNanos);
        }
        lastEventNanos = nowNanos;
    }

    private void apply(InetSocketAddress sender, QuotaMessage message, long nowNanos) {
        if (message instanceof QuotaMessage.Request request) {
            QuotaMessage.Grant grant = granter.request(sender, request, vm -> probe(vm, request, nowNanos), nowNanos);
            if (request.wanted() > 0 || request.returned() == 0) {
                queued.addLast(new QuotaAction.Send(sender, grant));
            }
        } else if (message instanceof QuotaMessage.Grant grant) {
            borrower.granted(sender, grant, nowNanos, queued::addLast);
        }
    }

    /** Asks a VM that should grant in place of this one whether it can. */
    private void probe(InetSocketAddress vm, QuotaMessage.Request cause, long nowNanos) {
        if (!earlierBuilds.isProbeDue(vm, nowNanos)) {
            return;
        }
        QuotaMessage.Request probe = new QuotaMessage.Request(cause.tenant(), cause.version(), --lastProbe, 0, 0, 0);
        queued.addLast(new QuotaAction.Send(vm, probe));
        if (earlierBuilds.needsContact(vm)) {
            queued.addLast(new QuotaAction.RequestContact(vm));
        }
    }

    /** Returns the queued actions, after those that concern this VM alone were applied. */
    private List<QuotaAction> actions(long nowNanos) {
        List<QuotaAction> result = new ArrayList<>();
        while (!queued.isEmpty()) {
            QuotaAction action = queued.removeFirst();
            if (action instanceof QuotaAction.Send send
                    && send.receiver().equals(orders.view().self())) {
                apply(send.receiver(), send.message(), nowNanos);
            } else {
                result.add(action);
            }
        }
        return result;
    }
}
