package io.coppershelf.dispatch;

import static com.google.common.truth.Truth.assertThat;

import io.coppershelf.catalog.RequestKind;
import io.coppershelf.outcome.ErrorKind;
import io.coppershelf.outcome.Outcome;
import io.coppershelf.testing.Catalogs;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class RequestPlanTest {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long DEADLINE = 5000 * MILLI;

    private final FakeAllocator allocator = new FakeAllocator("a", "b", "c");

    @Test
    void onceRequestIsNotRetriedAfterALostAnswer() {
        RequestPlan plan = started(RequestKind.ONCE);
        PlanStep.Fail fail = fail(plan.lost(0, MILLI));
        assertThat(fail.kind()).isEqualTo(ErrorKind.SERVER_LOST);
        assertThat(fail.kind().outcome()).isEqualTo(Outcome.UNKNOWN);
    }

    @Test
    void onceRequestIsRetriedWhenNoByteWasSent() {
        RequestPlan plan = started(RequestKind.ONCE);
        assertThat(send(plan.notSent(0, MILLI)).server().id()).isEqualTo("b");
    }

    @Test
    void onceRequestIsRetriedWhenTheServerStatesThatItHasNotRun() {
        RequestPlan plan = started(RequestKind.ONCE);
        assertThat(send(plan.notRun(0, MILLI)).server().id()).isEqualTo("b");
    }

    @Test
    void refusalByAllServersFailsAsNotRunWithARetryTime() {
        RequestPlan plan = started(RequestKind.ONCE);
        plan.notRun(0, MILLI);
        PlanStep.Fail fail = fail(plan.notRun(1, MILLI));
        assertThat(fail.kind()).isEqualTo(ErrorKind.SERVER_REFUSED);
        assertThat(fail.retryAfter()).isPresent();
    }

    @Test
    void repeatableRequestThatWasLostOnceAndRefusedOnceDoesNotFailAsNotRun() {
        RequestPlan plan = started(RequestKind.REPEATABLE);
        plan.lost(0, MILLI);
        assertThat(fail(plan.notRun(1, MILLI)).kind().outcome()).isEqualTo(Outcome.UNKNOWN);
    }

    @Test
    void failureOfTheServerIsDeliveredWhenNoServerIsLeft() {
        RequestPlan plan = started(RequestKind.REPEATABLE);
        plan.failed(0, MILLI);
        List<PlanStep> steps = plan.failed(1, 2 * MILLI);
        assertThat(steps).containsExactly(new PlanStep.Deliver(0));
    }

    @Test
    void requestIsNotSentToMoreServersThanTheRouteAllows() {
        RequestPlan plan = started(RequestKind.REPEATABLE);
        plan.failed(0, MILLI);
        plan.failed(1, MILLI);
        assertThat(plan.serversReached()).isEqualTo(2);
    }

    @Test
    void quarantinedRequestIsRefusedAsNotRunWithATimeToRetry() {
        allocator.quarantine = Optional.of(Duration.ofMinutes(5));
        PlanStep.Fail fail = fail(plan(RequestKind.REPEATABLE, allocator).start(0));
        assertThat(fail.kind()).isEqualTo(ErrorKind.REQUEST_QUARANTINED);
        assertThat(fail.kind().outcome()).isEqualTo(Outcome.NOT_RUN);
        assertThat(fail.retryAfter()).hasValue(Duration.ofMinutes(5));
    }

    @Test
    void requestThatIsQuarantinedAfterItWasSentIsNotRetriedAndNotReportedAsNotRun() {
        RequestPlan plan = started(RequestKind.REPEATABLE);
        allocator.quarantine = Optional.of(Duration.ofMinutes(5));
        PlanStep.Fail fail = fail(plan.lost(0, MILLI));
        assertThat(fail.kind()).isEqualTo(ErrorKind.SERVER_LOST);
        assertThat(fail.retryAfter()).isEmpty();
    }

    @Test
    void quarantinedRequestIsNotHedged() {
        RequestPlan plan = started(RequestKind.REPEATABLE);
        allocator.quarantine = Optional.of(Duration.ofMinutes(5));
        assertThat(plan.timerExpired(DEADLINE / 2).stream().anyMatch(PlanStep.Send.class::isInstance))
                .isFalse();
    }

    @Test
    void requestOfAVmThatReachesNoServerIsHandedToAnotherVmWithAllItsServers() {
        cutOff("10.0.0.1");
        PlanStep.Relay relay = relay(plan(RequestKind.ONCE, allocator).start(0));
        assertThat(relay.vm()).isEqualTo(allocator.vms.get(0));
        assertThat(relay.servers()).isEqualTo(2);
    }

    @Test
    void requestThatAnotherVmHasNotRunIsHandedToTheNextAndThenRefusedWithItsTimeToRetry() {
        cutOff("10.0.0.1", "10.0.0.2");
        RequestPlan plan = plan(RequestKind.ONCE, allocator);
        plan.start(0);
        PlanStep.Relay second = relay(plan.relayNotRun(0, 0, Optional.empty(), MILLI));
        assertThat(second.vm()).isEqualTo(allocator.vms.get(1));
        PlanStep.Fail fail = fail(plan.relayNotRun(1, 0, Optional.of(Duration.ofSeconds(3)), MILLI));
        assertThat(fail.kind().outcome()).isEqualTo(Outcome.NOT_RUN);
        assertThat(fail.retryAfter()).hasValue(Duration.ofSeconds(3));
    }

    /** Guards against work that runs again, or is called not run, after another VM with it was lost. */
    @Test
    void requestThatIsLostAtAnotherVmIsNotSentAgain() {
        for (RequestKind kind : List.of(RequestKind.ONCE, RequestKind.REPEATABLE)) {
            cutOff("10.0.0.1", "10.0.0.2");
            RequestPlan plan = plan(kind, allocator);
            plan.start(0);
            assertThat(fail(plan.lost(0, MILLI)).kind().outcome()).isEqualTo(Outcome.UNKNOWN);
        }
    }

    @Test
    void serversThatAnotherVmUsedCountAsThoseOfTheRequest() {
        cutOff("10.0.0.1", "10.0.0.2");
        RequestPlan plan = plan(RequestKind.REPEATABLE, allocator);
        plan.start(0);
        assertThat(relay(plan.relayNotRun(0, 1, Optional.empty(), MILLI)).servers())
                .isEqualTo(1);
    }

    @Test
    void requestIsRefusedAtOnceIfNoVmReachesServers() {
        cutOff();
        PlanStep.Fail fail = fail(plan(RequestKind.ONCE, allocator).start(0));
        assertThat(fail.kind()).isEqualTo(ErrorKind.NO_SERVER);
        assertThat(fail.retryAfter()).isPresent();
    }

    /** Guards against requests that each wait for a timeout of their own to learn that no server can be reached. */
    @Test
    void repeatableRequestInFlightIsHandedOnWhenItIsSlowAndTheVmIsCutOff() {
        RequestPlan plan = started(RequestKind.REPEATABLE);
        cutOff("10.0.0.1");
        assertThat(relay(plan.timerExpired(plan.nextTimer(0))).servers()).isEqualTo(1);
    }

    @Test
    void retryAtAnotherVmNeedsBudget() {
        allocator.hasBudget = false;
        RequestPlan plan = started(RequestKind.REPEATABLE);
        cutOff("10.0.0.1");
        assertThat(fail(plan.lost(0, MILLI)).kind()).isEqualTo(ErrorKind.SERVER_LOST);
    }

    /** Guards against requests that fail although another VM reaches the servers that are left. */
    @Test
    void requestWhoseServersAreOutOfReachIsHandedToAnotherVm() {
        RequestPlan plan = started(RequestKind.ONCE);
        outOfReach("10.0.0.1");
        assertThat(relay(plan.notSent(0, MILLI)).servers()).isEqualTo(2);
        assertThat(fail(plan.lost(1, MILLI)).kind().outcome()).isEqualTo(Outcome.UNKNOWN);
    }

    @Test
    void requestWhoseServersAreOutOfReachOfAllVmsIsSentToAServerInDoubt() {
        outOfReach("10.0.0.1");
        RequestPlan plan = plan(RequestKind.ONCE, allocator);
        plan.start(0);
        assertThat(send(plan.relayNotRun(0, 0, Optional.empty(), MILLI))
                        .server()
                        .id())
                .isEqualTo("a");
    }

    /** Guards against a refusal after four connections that failed, while another VM can serve the request. */
    @Test
    void requestWhoseConnectionsAllFailedIsHandedToAnotherVm() {
        FakeAllocator many = new FakeAllocator("a", "b", "c", "d", "e");
        many.vms = List.of(new InetSocketAddress("10.0.0.1", 1));
        RequestPlan plan = plan(RequestKind.ONCE, many);
        plan.start(0);
        for (int i = 0; i < 3; i++) {
            send(plan.notSent(i, MILLI));
        }
        assertThat(relay(plan.notSent(3, MILLI)).servers()).isEqualTo(2);
    }

    private void outOfReach(String... vms) {
        cutOff(vms);
        allocator.isCutOff = false;
        allocator.isOutOfReach = true;
    }

    private void cutOff(String... vms) {
        allocator.isCutOff = true;
        allocator.vms =
                Arrays.stream(vms).map(vm -> new InetSocketAddress(vm, 1)).toList();
    }

    private static PlanStep.Relay relay(List<PlanStep> steps) {
        return (PlanStep.Relay) steps.get(0);
    }

    @Test
    void emptyBudgetPreventsARetry() {
        allocator.hasBudget = false;
        RequestPlan plan = started(RequestKind.REPEATABLE);
        assertThat(plan.failed(0, MILLI)).containsExactly(new PlanStep.Deliver(0));
    }

    @Test
    void failedConnectionNeedsNoBudget() {
        allocator.hasBudget = false;
        RequestPlan plan = started(RequestKind.ONCE);
        assertThat(send(plan.notSent(0, MILLI)).attempt()).isEqualTo(1);
    }

    @Test
    void slowRepeatableRequestIsHedgedOnASecondServer() {
        RequestPlan plan = started(RequestKind.REPEATABLE);
        long due = plan.nextTimer(0);
        assertThat(due).isLessThan(2000 * MILLI);
        assertThat(send(plan.timerExpired(due)).server().id()).isEqualTo("b");
        assertThat(plan.answered(1)).containsExactly(new PlanStep.Deliver(1));
    }

    @Test
    void slowOnceRequestIsNotHedgedAndTheStallIsReported() {
        RequestPlan plan = started(RequestKind.ONCE);
        assertThat(plan.timerExpired(plan.nextTimer(0))).containsExactly(new PlanStep.ReportStall(0));
        assertThat(plan.nextTimer(3000 * MILLI)).isEqualTo(DEADLINE);
    }

    @Test
    void deadlineOfASentRequestEndsItWithAnUnknownOutcome() {
        RequestPlan plan = started(RequestKind.ONCE);
        assertThat(fail(plan.timerExpired(DEADLINE)).kind()).isEqualTo(ErrorKind.DEADLINE_PASSED);
    }

    @Test
    void requestWithoutAnyServerIsRefusedAtOnce() {
        RequestPlan plan = plan(RequestKind.ONCE, new FakeAllocator());
        PlanStep.Fail fail = fail(plan.start(0));
        assertThat(fail.kind()).isEqualTo(ErrorKind.NO_SERVER);
        assertThat(fail.retryAfter()).isPresent();
    }

    @Test
    void lastAttemptOfARepeatableRequestIsMarked() {
        RequestPlan plan = started(RequestKind.REPEATABLE);
        assertThat(allocator.isLastAttempt).isFalse();
        plan.failed(0, MILLI);
        assertThat(allocator.isLastAttempt).isTrue();
    }

    @Test
    void firstAttemptOfARepeatableRequestIsTheLastOneWhenTheBudgetIsEmpty() {
        allocator.hasBudget = false;
        started(RequestKind.REPEATABLE);
        assertThat(allocator.isLastAttempt).isTrue();
    }

    @Test
    void answersAfterTheEndChangeNothing() {
        RequestPlan plan = started(RequestKind.REPEATABLE);
        plan.answered(0);
        assertThat(plan.lost(0, MILLI)).isEmpty();
        assertThat(plan.timerExpired(DEADLINE)).isEmpty();
    }

    private RequestPlan started(RequestKind kind) {
        RequestPlan plan = plan(kind, allocator);
        assertThat(send(plan.start(0)).server().id()).isEqualTo("a");
        return plan;
    }

    private static RequestPlan plan(RequestKind kind, AttemptAllocator allocator) {
        return new RequestPlan(Catalogs.route(kind), allocator, DEADLINE, new TypicalLatency());
    }

    /**
     * Guards against callers that wait for their deadline, or all return at once, while a whole service asks for a
     * pause.
     */
    @Test
    void requestIsRefusedWithTheEndOfThePauseIfAllServersPause() {
        FakeAllocator allocator = new FakeAllocator();
        allocator.pause = Optional.of(Duration.ofMillis(700));
        PlanStep.Fail refusal = fail(plan(RequestKind.ONCE, allocator).start(0));
        assertThat(refusal.kind()).isEqualTo(ErrorKind.SERVER_REFUSED);
        assertThat(refusal.retryAfter()).hasValue(Duration.ofMillis(700));
    }

    private static PlanStep.Send send(List<PlanStep> steps) {
        assertThat(steps).hasSize(1);
        assertThat(steps.get(0)).isInstanceOf(PlanStep.Send.class);
        return (PlanStep.Send) steps.get(0);
    }

    private static PlanStep.Fail fail(List<PlanStep> steps) {
        assertThat(steps).hasSize(1);
        assertThat(steps.get(0)).isInstanceOf(PlanStep.Fail.class);
        return (PlanStep.Fail) steps.get(0);
    }
}
