package io.coppershelf.quota;

import static com.google.common.truth.Truth.assertThat;

import io.coppershelf.catalog.UsageCap;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests the decisions of one VM as borrower and as granter; the test plays the other VMs. */
final class QuotaNodeTest {
    private static final long MILLI = 1_000_000;
    private static final long SECOND = 1000 * MILLI;
    private static final InetSocketAddress SELF = vm(1);

    private final List<QuotaAction> actions = new ArrayList<>();
    private UsageCap cap = new UsageCap(10, 10);
    private long version = 1;
    private long now;

    @Test
    void loneVmAdmitsUpToTheCapWithoutAMessage() {
        QuotaNode node = node(vms(1));
        wait(node, 60 * SECOND);
        for (int i = 0; i < 100; i++) {
            acquire(node, i);
        }
        assertThat(admitted()).isAtLeast(10);
        assertThat(admitted()).isAtMost(16);
        assertThat(of(QuotaAction.Send.class)).isEmpty();
        assertThat(of(QuotaAction.Refuse.class)).hasSize(100 - admitted());
    }

    /** Guards against a second burst after each restart. */
    @Test
    void granterThatHasJustStartedHasNoTokens() {
        QuotaNode node = node(vms(1));
        acquire(node, 1);
        Refusal refusal = of(QuotaAction.Refuse.class).get(0).refusal();
        assertThat(refusal.isOverCap()).isTrue();
        assertThat(refusal.retryAfter().toMillis()).isAtLeast(100);
    }

    /** Guards against a VM that spends the tokens of a minute ago when it resumes. */
    @Test
    void granterThatWasPausedHasNoTokens() {
        QuotaNode node = node(vms(1));
        wait(node, 10 * SECOND);
        now += 30 * SECOND;
        acquire(node, 1);
        assertThat(admitted()).isEqualTo(0);
    }

    @Test
    void requestIsRepeatedThenSentToTheNextVmAndFinallyRefused() {
        QuotaNode node = borrower(10);
        acquire(node, 1);
        assertThat(receivers()).hasSize(1);
        wait(node, 40 * MILLI);
        assertThat(receivers()).hasSize(2);
        assertThat(receivers().get(1)).isEqualTo(receivers().get(0));
        wait(node, 30 * MILLI);
        assertThat(receivers()).hasSize(3);
        assertThat(receivers().get(2)).isNotEqualTo(receivers().get(0));
        wait(node, 90 * MILLI);
        Refusal refusal = of(QuotaAction.Refuse.class).get(0).refusal();
        assertThat(refusal.isOverCap()).isFalse();
        assertThat(refusal.retryAfter().toMillis()).isAtLeast(1000);
    }

    @Test
    void granterThatDidNotAnswerARequestAndItsRepetitionIsNotAskedFor10Seconds() {
        QuotaNode node = borrower(10);
        acquire(node, 1);
        InetSocketAddress granter = receivers().get(0);
        wait(node, 200 * MILLI);
        actions.clear();
        acquire(node, 2);
        assertThat(receivers()).doesNotContain(granter);
        wait(node, 11 * SECOND);
        actions.clear();
        acquire(node, 3);
        assertThat(receivers()).containsExactly(granter);
    }

    @Test
    void tokensExpireOneSecondAfterTheyWereRequestedAndAreReturned() {
        QuotaNode node = borrower(10);
        acquire(node, 1);
        QuotaAction.Send sent = of(QuotaAction.Send.class).get(0);
        now += 2 * MILLI;
        receive(node, sent, 3, 0);
        Token token = of(QuotaAction.Admit.class).get(0).token();
        assertThat(token.isExpired(SECOND - 1)).isFalse();
        assertThat(token.isExpired(SECOND)).isTrue();
        wait(node, 500 * MILLI);
        acquire(node, 2);
        assertThat(admitted()).isEqualTo(2);
        actions.clear();
        wait(node, 1500 * MILLI);
        assertThat(of(QuotaAction.Send.class)).hasSize(1);
        QuotaAction.Send returned = of(QuotaAction.Send.class).get(0);
        assertThat(((QuotaMessage.Request) returned.message()).returned()).isEqualTo(1);
        assertThat(((QuotaMessage.Request) returned.message()).wanted()).isEqualTo(0);
    }

    @Test
    void tokenOfARequestThatDidNotRunAdmitsAnother() {
        QuotaNode node = borrower(10);
        acquire(node, 1);
        receive(node, of(QuotaAction.Send.class).get(0), 1, 0);
        node.giveBack(of(QuotaAction.Admit.class).get(0).token(), now);
        actions.clear();
        acquire(node, 2);
        assertThat(admitted()).isEqualTo(1);
        assertThat(receivers()).isEmpty();
    }

    /** Guards against a message for each refused request of a tenant far above its cap. */
    @Test
    void denialIsRememberedUntilTokensAreAvailable() {
        QuotaNode node = borrower(10);
        acquire(node, 1);
        receive(node, of(QuotaAction.Send.class).get(0), 0, 700);
        assertThat(of(QuotaAction.Refuse.class)).isEmpty();
        receive(node, of(QuotaAction.Send.class).get(1), 0, 900);
        receive(node, of(QuotaAction.Send.class).get(2), 0, 900);
        assertThat(of(QuotaAction.Refuse.class)).hasSize(1);
        actions.clear();
        wait(node, 600 * MILLI);
        acquire(node, 2);
        Refusal refusal = of(QuotaAction.Refuse.class).get(0).refusal();
        assertThat(refusal.isOverCap()).isTrue();
        assertThat(refusal.retryAfter().toMillis()).isAtLeast(50);
        assertThat(receivers()).isEmpty();
        wait(node, 200 * MILLI);
        acquire(node, 3);
        assertThat(receivers()).hasSize(1);
    }

    @Test
    void tokensAreDiscardedWhenTheCapChanges() {
        QuotaNode node = borrower(10);
        acquire(node, 1);
        receive(node, of(QuotaAction.Send.class).get(0), 5, 0);
        cap = new UsageCap(5, 5);
        version++;
        actions.clear();
        acquire(node, 2);
        assertThat(admitted()).isEqualTo(0);
        assertThat(receivers()).hasSize(1);
    }

    @Test
    void repeatedRequestIsNotGrantedTwice() {
        QuotaNode node = granter(10);
        QuotaMessage.Request request = new QuotaMessage.Request("t", 1, 7, 4, 0, 0);
        QuotaMessage.Grant first = ask(node, vm(99), request);
        assertThat(first.granted()).isEqualTo(4);
        assertThat(ask(node, vm(99), request)).isEqualTo(first);
        int rest = ask(node, vm(98), new QuotaMessage.Request("t", 1, 8, 100, 0, 0))
                .granted();
        assertThat(rest).isEqualTo(1);
    }

    @Test
    void granterThatLosesHalfOfTheFleetIssuesFiveEighths() {
        QuotaNode node = granter(10);
        ask(node, vm(99), new QuotaMessage.Request("t", 1, 1, 100, 0, 0));
        node.use(view(self(10), vms(10), 0.5), now);
        int granted = 0;
        for (int i = 2; i < 12; i++) {
            wait(node, SECOND);
            granted += ask(node, vm(99), new QuotaMessage.Request("t", 1, i, 100, 0, 0))
                    .granted();
        }
        assertThat(granted).isAtLeast(19);
        assertThat(granted).isAtMost(21);
    }

    /**
     * Guards against a half of a divided fleet that counts the other half as lost and as silent, and issues a third.
     */
    @Test
    void silenceOfVmsThatAreDownDoesNotReduceTheTokensTwice() {
        QuotaNode node = granter(10);
        for (int i = 2; i <= 10; i++) {
            node.receive(vm(i), new QuotaMessage.Request("t", 1, i, 1, 0, 0), now);
        }
        // All other VMs are silent, and five of them are down then.
        wait(node, 16 * SECOND);
        Set<InetSocketAddress> live =
                vms(10).stream().filter(vm -> !isOneOf(vm, 5)).collect(Collectors.toSet());
        node.use(view(self(10), live, 0.5), now);
        assertThat(grantedIn10Seconds(node)).isAtMost(6);
        node.use(view(self(10), Set.of(self(10)), 0.5), now);
        assertThat(grantedIn10Seconds(node)).isAtLeast(55);
    }

    private int grantedIn10Seconds(QuotaNode node) {
        ask(node, vm(99), new QuotaMessage.Request("t", 1, now, 100, 0, 0));
        int granted = 0;
        for (int i = 0; i < 10; i++) {
            wait(node, SECOND);
            granted += ask(node, vm(99), new QuotaMessage.Request("t", 1, now, 100, 0, 0))
                    .granted();
        }
        return granted;
    }

    private static boolean isOneOf(InetSocketAddress vm, int count) {
        return GranterOrder.of("t", vms(10)).subList(10 - count, 10).contains(vm);
    }

    @Test
    void lowerCapIsGrantedAtOnce() {
        QuotaNode node = granter(10);
        cap = new UsageCap(1, 1);
        assertThat(ask(node, vm(99), new QuotaMessage.Request("t", 1, 1, 100, 0, 0))
                        .granted())
                .isAtMost(2);
    }

    @Test
    void successorHasAReserveOnlyAndOtherVmsGrantNothing() {
        List<InetSocketAddress> order = GranterOrder.of("t", vms(10));
        QuotaNode successor = node(order.get(3), vms(10));
        QuotaNode other = node(order.get(8), vms(10));
        int granted = 0;
        for (int i = 0; i < 50; i++) {
            wait(successor, SECOND / 5);
            granted += ask(successor, vm(99), new QuotaMessage.Request("t", 1, i, 100, 0, 0))
                    .granted();
        }
        assertThat(granted).isAtLeast(11);
        assertThat(granted).isAtMost(14);
        QuotaMessage.Grant none = ask(other, vm(99), new QuotaMessage.Request("t", 1, 1, 5, 0, 0));
        assertThat(none.granted()).isEqualTo(0);
        assertThat(none.retryAfterMillis()).isEqualTo(0);
    }

    @Test
    void stateOfIdleTenantsIsRemoved() {
        QuotaNode node = node(vms(1));
        wait(node, 5 * SECOND);
        acquire(node, 1);
        assertThat(node.tenants()).isEqualTo(1);
        wait(node, 40 * SECOND);
        assertThat(node.tenants()).isEqualTo(0);
    }

    @Test
    void joiningVmChangesOnlyItsOwnPlacesInTheOrder() {
        for (int i = 0; i < 50; i++) {
            List<InetSocketAddress> before = GranterOrder.of("t" + i, vms(20));
            List<InetSocketAddress> after = new ArrayList<>(GranterOrder.of("t" + i, vms(21)));
            after.remove(vm(21));
            assertThat(after).isEqualTo(before);
        }
    }

    private QuotaNode node(Set<InetSocketAddress> live) {
        return node(SELF, live);
    }

    private QuotaNode node(InetSocketAddress self, Set<InetSocketAddress> live) {
        TenantCaps caps = new TenantCaps() {
            @Override
            public long version() {
                return version;
            }

            @Override
            public Optional<UsageCap> cap(String tenant) {
                return Optional.of(cap);
            }
        };
        return new QuotaNode(caps, view(self, live, 1), new Random(1), now);
    }

    /** Returns a VM of a fleet that is not among the first two in the order. */
    private QuotaNode borrower(int size) {
        return node(GranterOrder.of("t", vms(size)).get(size - 1), vms(size));
    }

    /** Returns the granter of the tenant, with a full bucket. */
    private QuotaNode granter(int size) {
        QuotaNode node = node(self(size), vms(size));
        wait(node, 10 * SECOND);
        return node;
    }

    private static InetSocketAddress self(int size) {
        return GranterOrder.of("t", vms(size)).get(0);
    }

    private void acquire(QuotaNode node, long number) {
        actions.addAll(node.acquire("t", number, now));
    }

    private void wait(QuotaNode node, long nanos) {
        for (long end = now + nanos; now < end; ) {
            now += 10 * MILLI;
            actions.addAll(node.tick(now));
        }
    }

    private void receive(QuotaNode node, QuotaAction.Send request, int granted, int retryMillis) {
        long number = ((QuotaMessage.Request) request.message()).number();
        QuotaMessage.Grant grant = new QuotaMessage.Grant("t", version, number, granted, retryMillis);
        actions.addAll(node.receive(request.receiver(), grant, now));
    }

    private QuotaMessage.Grant ask(QuotaNode node, InetSocketAddress borrower, QuotaMessage.Request request) {
        return node.receive(borrower, request, now).stream()
                .filter(action -> action instanceof QuotaAction.Send send
                        && send.receiver().equals(borrower))
                .map(action -> (QuotaMessage.Grant) ((QuotaAction.Send) action).message())
                .findFirst()
                .orElseThrow();
    }

    private <T> List<T> of(Class<T> type) {
        return actions.stream().filter(type::isInstance).map(type::cast).toList();
    }

    private int admitted() {
        return of(QuotaAction.Admit.class).size();
    }

    private List<InetSocketAddress> receivers() {
        return of(QuotaAction.Send.class).stream()
                .filter(send -> send.message().tenant().equals("t"))
                .map(QuotaAction.Send::receiver)
                .toList();
    }

    private static FleetView view(InetSocketAddress self, Set<InetSocketAddress> live, double liveShare) {
        return new FleetView(self, live.stream().collect(Collectors.toMap(vm -> vm, vm -> 1L)), liveShare);
    }

    private static Set<InetSocketAddress> vms(int size) {
        return IntStream.rangeClosed(1, size).mapToObj(QuotaNodeTest::vm).collect(Collectors.toUnmodifiableSet());
    }

    private static InetSocketAddress vm(int index) {
        return new InetSocketAddress("10.0.0." + index, 7000);
    }
}
