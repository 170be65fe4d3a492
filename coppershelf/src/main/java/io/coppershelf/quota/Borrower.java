package io.coppershelf.quota;

import io.coppershelf.catalog.UsageCap;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Obtains the tokens for the requests that this VM receives. A request waits at most {@value #WAIT_MILLIS} ms. Not
 * thread-safe.
 */
final class Borrower {
    /** Time after which a request for tokens is repeated, since the message or its answer may be lost. */
    private static final long REPEAT_NANOS = TimeUnit.MILLISECONDS.toNanos(30);
    /** Time after which the next granter is asked. */
    private static final long NEXT_GRANTER_NANOS = TimeUnit.MILLISECONDS.toNanos(60);

    private static final long WAIT_MILLIS = 150;
    private static final long WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(WAIT_MILLIS);
    /** Time for which tokens are valid, so that a VM that pauses doesn't use those of a former window. */
    private static final long TOKEN_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final long IDLE_NANOS = TimeUnit.SECONDS.toNanos(10);
    /** Time after which a caller may try again if no granter answered; granters are back or replaced in seconds. */
    private static final Duration UNKNOWN_RETRY_AFTER = Duration.ofSeconds(1);
    /** Shortest time over which the callers of refused requests are spread. */
    private static final long MIN_SPREAD_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final TenantCaps caps;
    private final TenantOrders orders;
    private final Random random;
    private final SilentVms silent;
    private final EarlierBuilds earlierBuilds;
    private final BatchSize batch = new BatchSize();
    private final Map<String, BorrowerTenant> tenants = new HashMap<>();
    /** The tenants with requests that wait or messages without an answer. */
    private final Set<BorrowerTenant> pending = new LinkedHashSet<>();

    private long lastNumber;

    Borrower(TenantCaps caps, TenantOrders orders, SilentVms silent, EarlierBuilds earlierBuilds, Random random) {
        this.caps = caps;
        this.orders = orders;
        this.silent = silent;
        this.earlierBuilds = earlierBuilds;
        this.random = random;
        lastNumber = random.nextInt();
    }

    /** Requests a token; the answer is among the actions, at once or later. */
    void acquire(String name, long requestNumber, long nowNanos, Consumer<QuotaAction> actions) {
        BorrowerTenant tenant = tenants.computeIfAbsent(name, key -> new BorrowerTenant(key, nowNanos));
        adaptCap(tenant);
        tenant.usedNanos = nowNanos;
        tenant.demand.record(nowNanos);
        batch.record(nowNanos);
        if (tenant.waiting.isEmpty() && tenant.exchange.isEmpty()) {
            tenant.startRound();
        }
        tenant.waiting.addLast(new BorrowerTenant.Waiting(requestNumber, nowNanos));
        proceed(tenant, nowNanos, actions);
    }

    /**
     * Forgets what this VM denied to itself: one that has just started issues hardly any tokens until it knows others.
     * Denials of other VMs hold, since they bound the messages.
     */
    void viewChanged() {
        InetSocketAddress self = orders.view().self();
        tenants.values().forEach(tenant -> tenant.clearDenial(self));
    }

    /** Forgets a request whose caller has left. */
    void cancel(String name, long requestNumber) {
        Optional.ofNullable(tenants.get(name))
                .ifPresent(tenant -> tenant.waiting.removeIf(waiting -> waiting.requestNumber() == requestNumber));
    }

    /** Puts the token of a request back that did not run. */
    void giveBack(Token token, long nowNanos) {
        tenants.computeIfAbsent(token.tenant(), key -> new BorrowerTenant(key, nowNanos))
                .purse
                .giveBack(token, nowNanos);
    }

    /** Applies the answer of a granter. Late answers are ignored: their tokens count as spent. */
    void granted(InetSocketAddress granter, QuotaMessage.Grant grant, long nowNanos, Consumer<QuotaAction> actions) {
        silent.recordAnswer(granter);
        BorrowerTenant tenant = tenants.get(grant.tenant());
        if (tenant == null || !isAnswer(tenant, granter, grant)) {
            return;
        }
        BorrowerTenant.Exchange exchange = tenant.exchange.orElseThrow();
        tenant.exchange = Optional.empty();
        if (grant.granted() > 0) {
            tenant.answeredNanos = Optional.of(nowNanos);
            tenant.clearDenial(granter);
            tenant.purse.add(granter, grant.granted(), exchange.sentNanos() + TOKEN_NANOS);
        } else if (grant.retryAfterMillis() > 0) {
            tenant.answeredNanos = Optional.of(nowNanos);
            tenant.recordDenial(granter, nowNanos + TimeUnit.MILLISECONDS.toNanos(grant.retryAfterMillis()));
        } else {
            tenant.recordAbsence(granter, nowNanos);
        }
        proceed(tenant, nowNanos, actions);
    }

    private static boolean isAnswer(BorrowerTenant tenant, InetSocketAddress granter, QuotaMessage.Grant grant) {
        return tenant.exchange
                .filter(exchange ->
                        exchange.granter().equals(granter) && exchange.request().number() == grant.number())
                .isPresent();
    }

    /** Returns whether timers run. */
    boolean isPending() {
        return !pending.isEmpty();
    }

    /** Returns the number of tenants with state. */
    int size() {
        return tenants.size();
    }

    /** Repeats messages and ends the wait of requests; to be called every few milliseconds while timers run. */
    void tick(long nowNanos, Consumer<QuotaAction> actions) {
        for (BorrowerTenant tenant : new ArrayList<>(pending)) {
            tenant.exchange.ifPresent(exchange -> tick(tenant, exchange, nowNanos, actions));
            proceed(tenant, nowNanos, actions);
        }
    }

    private void tick(
            BorrowerTenant tenant, BorrowerTenant.Exchange exchange, long nowNanos, Consumer<QuotaAction> actions) {
        long age = nowNanos - exchange.sentNanos();
        boolean isSilent = age >= NEXT_GRANTER_NANOS;
        if (isSilent) {
            silent.recordSilence(exchange.granter(), nowNanos);
            earlierBuilds.suspect(exchange.granter(), nowNanos);
        }
        // A request of another tenant may have found that the granter is silent.
        if (isSilent || silent.isSkipped(exchange.granter(), nowNanos)) {
            tenant.isGranterMissing = true;
            tenant.exchange = Optional.empty();
        } else if (age >= REPEAT_NANOS && !exchange.isRepeated() && isRepeatable(exchange.granter())) {
            tenant.exchange = Optional.of(
                    new BorrowerTenant.Exchange(exchange.granter(), exchange.request(), exchange.sentNanos(), true));
            actions.accept(new QuotaAction.Send(exchange.granter(), exchange.request()));
        }
    }

    /** Messages to VMs that are probably out of reach are not repeated, since the number of messages is bounded. */
    private boolean isRepeatable(InetSocketAddress granter) {
        return !silent.isCutOff() && !silent.wasSilent(granter);
    }

    /** Returns unused tokens and removes the state of idle tenants. */
    void sweep(long nowNanos, Consumer<QuotaAction> actions) {
        tenants.values().forEach(tenant -> {
            adaptCap(tenant);
            tenant.purse.expire(nowNanos);
            tenant.purse.nextReturn().ifPresent(granter -> {
                int returned = tenant.purse.takeReturns(granter);
                actions.accept(new QuotaAction.Send(granter, request(tenant, 0, returned, nowNanos)));
            });
        });
        tenants.values().removeIf(tenant -> tenant.isIdle(nowNanos, IDLE_NANOS));
    }

    /** Discards the tokens and denials of a tenant whose cap has changed. */
    private void adaptCap(BorrowerTenant tenant) {
        double perSecond = caps.cap(tenant.name).map(UsageCap::perSecond).orElse(0.0);
        if (perSecond != tenant.perSecond) {
            tenant.purse.discard();
            tenant.clearDenials();
            tenant.perSecond = perSecond;
        }
    }

    private void proceed(BorrowerTenant tenant, long nowNanos, Consumer<QuotaAction> actions) {
        admit(tenant, nowNanos, actions);
        if (tenant.exchange.isEmpty()) {
            ask(tenant, nowNanos, actions);
        }
        while (!tenant.waiting.isEmpty()
                && nowNanos - tenant.waiting.peekFirst().sinceNanos() >= WAIT_NANOS) {
            refuse(tenant, tenant.waiting.removeFirst(), nowNanos, actions);
        }
        if (tenant.waiting.isEmpty() && tenant.exchange.isEmpty()) {
            pending.remove(tenant);
        } else {
            pending.add(tenant);
        }
    }

    private void admit(BorrowerTenant tenant, long nowNanos, Consumer<QuotaAction> actions) {
        while (!tenant.waiting.isEmpty()) {
            Optional<Token> token = tenant.purse.take(nowNanos);
            if (token.isEmpty()) {
                return;
            }
            tenant.recordSpent(nowNanos);
            actions.accept(new QuotaAction.Admit(tenant.waiting.removeFirst().requestNumber(), token.get()));
        }
    }

    private void ask(BorrowerTenant tenant, long nowNanos, Consumer<QuotaAction> actions) {
        int wanted = tenant.wanted(batch.seconds(nowNanos), nowNanos);
        if (wanted == 0) {
            return;
        }
        Optional<InetSocketAddress> granter = nextGranter(tenant, nowNanos);
        if (granter.isEmpty()) {
            List<BorrowerTenant.Waiting> refused = new ArrayList<>(tenant.waiting);
            tenant.waiting.clear();
            refused.forEach(waiting -> refuse(tenant, waiting, nowNanos, actions));
            return;
        }
        tenant.asked.add(granter.get());
        QuotaMessage.Request request = request(tenant, wanted, tenant.purse.takeReturns(granter.get()), nowNanos);
        tenant.exchange = Optional.of(new BorrowerTenant.Exchange(granter.get(), request, nowNanos, false));
        pending.add(tenant);
        actions.accept(new QuotaAction.Send(granter.get(), request));
    }

    private QuotaMessage.Request request(BorrowerTenant tenant, int wanted, int returned, long nowNanos) {
        return new QuotaMessage.Request(
                tenant.name, caps.version(), ++lastNumber, wanted, returned, tenant.spent(nowNanos));
    }

    /** Returns the granter to ask now: this VM before others, each once in a round. */
    private Optional<InetSocketAddress> nextGranter(BorrowerTenant tenant, long nowNanos) {
        Optional<UsageCap> cap = caps.cap(tenant.name);
        // A VM that has just started and knows no other one can't tell who the granters are.
        if (cap.isEmpty() || orders.view().liveShare() == 0) {
            return Optional.empty();
        }
        InetSocketAddress self = orders.view().self();
        List<InetSocketAddress> order = orders.of(tenant.name).stream()
                .filter(vm -> !earlierBuilds.contains(vm))
                .toList();
        int granters = Math.min(orders.granters(cap.get()), order.size());
        long skipped = order.stream()
                .limit(granters)
                .filter(vm -> silent.isSkipped(vm, nowNanos))
                .count();
        Optional<InetSocketAddress> preferred = order.stream()
                .limit(granters)
                .filter(vm -> isAskable(tenant, vm, nowNanos))
                .min(Comparator.comparing((InetSocketAddress vm) -> !vm.equals(self))
                        .thenComparing(vm -> GranterOrder.preference(self, vm)));
        if (preferred.isPresent() || (skipped == 0 && !tenant.isGranterMissing(nowNanos))) {
            return preferred;
        }
        // The successors have a reserve, and take the place of silent granters that they no longer consider live.
        return order.stream()
                .skip(granters)
                .limit(GranterOrder.RESERVES + skipped)
                .filter(vm -> isAskable(tenant, vm, nowNanos))
                .findFirst();
    }

    private boolean isAskable(BorrowerTenant tenant, InetSocketAddress vm, long nowNanos) {
        return !silent.isSkipped(vm, nowNanos) && tenant.isAskable(vm, nowNanos);
    }

    private void refuse(
            BorrowerTenant tenant, BorrowerTenant.Waiting waiting, long nowNanos, Consumer<QuotaAction> actions) {
        Optional<Duration> deniedFor = tenant.deniedFor(orders.view().live(), nowNanos);
        boolean isOverCap = tenant.isDenied || deniedFor.isPresent();
        Optional<Duration> shareAge = tenant.answeredNanos.map(answered -> Duration.ofNanos(nowNanos - answered));
        actions.accept(new QuotaAction.Refuse(
                waiting.requestNumber(), new Refusal(isOverCap, spread(deniedFor), tenant.purse.size(), shareAge)));
    }

    /** Spreads the callers over the time after the next tokens, so that they don't all come back at once. */
    private Duration spread(Optional<Duration> deniedFor) {
        long base = deniedFor.orElse(UNKNOWN_RETRY_AFTER).toNanos();
        return Duration.ofNanos(base + (long) (random.nextDouble() * Math.max(MIN_SPREAD_NANOS, base)));
    }
}
