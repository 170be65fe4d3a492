package io.coppershelf.quota;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.Set;
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
    private final EarlierBuilds earlierBuilds;
    private final SilentVms silent = new SilentVms();
    private final AnswerSample sample;
    private final Random random;
    private final Granter granter;
    private final Borrower borrower;
    private final Deque<QuotaAction> queued = new ArrayDeque<>();
    private long lastEventNanos;
    private long sweptNanos;
    private long lastProbe;

    /** Creates the part of a VM that has just started. */
    public QuotaNode(TenantCaps caps, FleetView view, Random random, long nowNanos) {
        orders = new TenantOrders(view);
        earlierBuilds = new EarlierBuilds(nowNanos);
        sample = new AnswerSample(nowNanos);
        granter = new Granter(caps, orders, earlierBuilds, sample, nowNanos);
        borrower = new Borrower(caps, orders, silent, earlierBuilds, random);
        this.random = random;
        lastEventNanos = nowNanos;
        sweptNanos = nowNanos;
    }

    /** Uses a new view of the fleet. */
    public void use(FleetView view, long nowNanos) {
        advance(nowNanos);
        boolean isLiveChanged = !view.live().equals(orders.view().live());
        if (view.isSameAs(orders.view())) {
            return;
        }
        Set<InetSocketAddress> unchanged = view.unchangedSince(orders.view());
        orders.use(view);
        // A VM that was restarted may run another build, and answer again.
        earlierBuilds.retain(unchanged);
        sample.retain(unchanged);
        silent.retain(unchanged);
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
        earlierBuilds.nextProbe(nowNanos).ifPresent(this::probe);
        if (nowNanos - sweptNanos >= SWEEP_NANOS) {
            sweptNanos = nowNanos;
            borrower.sweep(nowNanos, queued::addLast);
            granter.sweep(nowNanos);
        }
        if (granter.size() > 0 && sample.isDue(nowNanos)) {
            askRandomVm(nowNanos);
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
            QuotaMessage.Grant grant =
                    granter.request(sender, request, vm -> earlierBuilds.suspect(vm, nowNanos), nowNanos);
            if (request.wanted() > 0 || request.returned() == 0) {
                queued.addLast(new QuotaAction.Send(sender, grant));
            }
        } else if (message instanceof QuotaMessage.Grant grant) {
            sample.recordAnswer(sender, grant.number());
            borrower.granted(sender, grant, nowNanos, queued::addLast);
        }
    }

    /** Asks a random VM whether it answers; the answer is the same as to a request for tokens of an unknown tenant. */
    private void askRandomVm(long nowNanos) {
        List<InetSocketAddress> others = orders.view().live().stream()
                .filter(vm -> !vm.equals(orders.view().self()) && !earlierBuilds.contains(vm))
                .toList();
        if (others.isEmpty()) {
            return;
        }
        InetSocketAddress vm = others.get(random.nextInt(others.size()));
        QuotaMessage.Request question = new QuotaMessage.Request("", 0, --lastProbe, 0, 0, 0);
        sample.ask(vm, question.number(), nowNanos)
                .filter(earlierBuilds::isGranting)
                .ifPresent(sample::recordSilence);
        queued.addLast(new QuotaAction.Send(vm, question));
    }

    /** Asks a VM that did not answer or should grant in place of this one whether it can. */
    private void probe(InetSocketAddress vm) {
        queued.addLast(new QuotaAction.Send(vm, new QuotaMessage.Request("", 0, --lastProbe, 0, 0, 0)));
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
