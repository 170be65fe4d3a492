package io.coppershelf.admission.internal.runtime;

import static com.google.common.truth.Truth.assertThat;

import io.coppershelf.admission.AttemptRequest;
import io.coppershelf.admission.AttemptResult;
import io.coppershelf.admission.AttemptResult.GroupLoad;
import io.coppershelf.admission.AttemptSender;
import io.coppershelf.admission.AttemptSender.AttemptExchange;
import io.coppershelf.admission.GroupName;
import io.coppershelf.admission.OwnerLookup;
import io.coppershelf.admission.ServerGroup;
import io.coppershelf.backend.BackendClient;
import io.coppershelf.backend.BackendRequest;
import io.coppershelf.backend.BackendRequest.Header;
import io.coppershelf.backend.BackendResult;
import io.coppershelf.backend.BackendResult.Answer;
import io.coppershelf.backend.BackendResult.ServerState;
import io.coppershelf.component.ComponentRegistry;
import io.coppershelf.component.TimeSource;
import io.coppershelf.membership.FleetView;
import io.coppershelf.membership.Vm;
import io.coppershelf.outcome.ErrorKind;
import io.coppershelf.outcome.Outcome;
import io.coppershelf.testing.FakeComponents;
import io.coppershelf.testing.LoopbackPeerExchange;
import io.coppershelf.testing.LoopbackPeerExchange.Fault;
import io.coppershelf.ticket.Configuration;
import io.coppershelf.ticket.ServerSpec;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Attempts that are forwarded from the VM that received the request to the owner of the server group. */
class ForwardTest implements BackendClient {
    private static final GroupName GROUP = new GroupName(FakeComponents.SERVICE, "herning");
    private static final Vm OWNER = new Vm("vm-2", 1, "herning", "127.0.0.1", 1, 2, false);
    private static final Answer ANSWER = new Answer(207, List.of(new Header("x-a", "1")), new byte[] {1, 2, 3});

    private final LoopbackPeerExchange peers = new LoopbackPeerExchange("vm-9");
    private final TimeSource time = TimeSource.system();
    private final List<FakeExchange> sent = new CopyOnWriteArrayList<>();
    private LocalGroups groups;
    private AttemptSender sender;

    @BeforeEach
    void start() {
        ComponentRegistry registry = new ComponentRegistry();
        FakeComponents.of(FakeComponents.server(1, 1)).register(registry);
        Configuration.Source configuration = registry.require(Configuration.Source.NAME);
        groups = new LocalGroups(
                configuration,
                new OwnerLookup(registry.require(FleetView.Source.NAME)),
                name -> new GroupRuntime(
                        name, ServerGroup.create(name, new Random(1)), this, time, runtime -> action -> {}));
        new ForwardServer(groups).register(peers, time);
        sender = new PeerAttemptSender(FakeComponents.SELF.id(), groups, peers, time);
    }

    private AttemptRequest request(String attemptId, GroupName group) {
        return new AttemptRequest(
                attemptId,
                group,
                "vagtbank/claim",
                "POST",
                "/claims?x=1",
                List.of(new Header("X-Sent", "yes")),
                new byte[] {7},
                false,
                9,
                1_000,
                false,
                time.nanos() + Duration.ofSeconds(60).toNanos());
    }

    private AttemptExchange forward(String attemptId) {
        return sender.send(OWNER, request(attemptId, GROUP));
    }

    private static Optional<ErrorKind> error(AttemptExchange exchange) {
        return exchange.result().join().error();
    }

    @Test
    void forwardsCompleteAttemptToTheOwnerAndReturnsCompleteAnswer() {
        AttemptExchange exchange = forward("t1");
        BackendRequest received = sent.get(0).request;
        sent.get(0).result.complete(BackendResult.answered(ANSWER, ServerState.READY));

        assertThat(received.attemptId()).isEqualTo("t1");
        assertThat(received.method() + received.target()).isEqualTo("POST/claims?x=1");
        assertThat(received.headers()).containsExactly(new Header("X-Sent", "yes"));
        assertThat(received.body()).isEqualTo(new byte[] {7});
        assertThat(received.largestAnswer()).isEqualTo(1_000);
        assertThat(received.deadlineNanos() - time.nanos())
                .isAtMost(Duration.ofSeconds(60).toNanos());
        Answer answer = exchange.result().join().answer().orElseThrow();
        assertThat(answer.status()).isEqualTo(207);
        assertThat(answer.headers()).isEqualTo(ANSWER.headers());
        assertThat(answer.body()).isEqualTo(ANSWER.body());
        assertThat(exchange.result().join().load().map(GroupLoad::freeSlots)).hasValue(1);
    }

    @ParameterizedTest
    @CsvSource({
        "NOT_SENT, OWNER_UNREACHABLE, 0",
        "REQUEST_LOST, OWNER_LOST, 0",
        "REPLY_LOST, OWNER_LOST, 1",
    })
    void reportsNotRunOnlyIfNothingWasSent(Fault fault, ErrorKind expected, int dispatched) {
        peers.fault = fault;

        AttemptExchange exchange = forward("t1");
        sent.forEach(running -> running.result.complete(BackendResult.answered(ANSWER, ServerState.READY)));

        assertThat(error(exchange)).hasValue(expected);
        assertThat(sent).hasSize(dispatched);
    }

    @ParameterizedTest
    @EnumSource(names = {"SERVER_LOST", "ANSWER_FOREIGN", "SERVER_REFUSED", "NO_SERVER", "DEADLINE_BEFORE_RUN"})
    void returnsErrorKindOfTheOwner(ErrorKind kind) {
        AttemptExchange exchange = forward("t1");
        sent.get(0).result.complete(BackendResult.failed(kind, ServerState.READY));

        assertThat(error(exchange)).hasValue(kind);
    }

    @ParameterizedTest
    @CsvSource({"vagtbank, viborg, NO_SERVER", "nosuch, herning, NO_SERVER"})
    void refusesGroupWithoutServersAsNotRun(String service, String dataCentre, ErrorKind expected) {
        AttemptExchange exchange = sender.send(OWNER, request("t1", new GroupName(service, dataCentre)));

        assertThat(error(exchange)).hasValue(expected);
    }

    @Test
    void refusesNewAttemptsWhileStopping() {
        AttemptExchange running = forward("t1");
        groups.beginStop();

        assertThat(error(forward("t2"))).hasValue(ErrorKind.STOPPING);
        assertThat(groups.inFlight()).isEqualTo(1);
        sent.get(0).result.complete(BackendResult.answered(ANSWER, ServerState.READY));
        assertThat(running.result().join().answer()).isPresent();
        assertThat(groups.inFlight()).isEqualTo(0);
    }

    @Test
    void queuesAttemptWithoutSlotAndReportsItNotRunOnCancel() {
        AttemptExchange first = forward("t1");
        AttemptExchange second = forward("t2");
        assertThat(sent).hasSize(1);

        second.cancel();

        assertThat(error(second)).hasValue(ErrorKind.DEADLINE_BEFORE_RUN);
        sent.get(0).result.complete(BackendResult.answered(ANSWER, ServerState.READY));
        assertThat(first.result().join().answer()).isPresent();
        assertThat(sent).hasSize(1);
    }

    @Test
    void cancelsRunningAttemptOnTheServer() {
        AttemptExchange exchange = forward("t1");

        exchange.cancel();

        assertThat(sent.get(0).isCancelled).isTrue();
        sent.get(0).result.complete(BackendResult.failed(ErrorKind.DEADLINE_PASSED, ServerState.UNSTATED));
        assertThat(error(exchange).map(ErrorKind::outcome)).hasValue(Outcome.UNKNOWN);
    }

    @Test
    void ignoresCancelFromAnotherVm() {
        AttemptExchange exchange = sender.send(FakeComponents.SELF, request("t1", GROUP));

        peers.send(OWNER, new ForwardCancel("t1"));

        assertThat(sent.get(0).isCancelled).isFalse();
        assertThat(exchange.result().isDone()).isFalse();
    }

    @Test
    void sendsAttemptIdOnlyOnce() {
        AttemptExchange first = forward("t1");

        assertThat(error(forward("t1")).map(ErrorKind::outcome)).hasValue(Outcome.UNKNOWN);
        assertThat(sent).hasSize(1);
        assertThat(first.result().isDone()).isFalse();
    }

    @Test
    void forwardsNothingAfterDeadline() {
        AttemptRequest late = request("t1", GROUP);
        AttemptRequest tooLate = new AttemptRequest(
                late.attemptId(),
                GROUP,
                late.route(),
                "POST",
                "/",
                List.of(),
                late.body(),
                false,
                1,
                1,
                false,
                time.nanos());

        assertThat(error(sender.send(OWNER, tooLate))).hasValue(ErrorKind.DEADLINE_BEFORE_RUN);
        assertThat(sent).isEmpty();
    }

    static Stream<AttemptResult> results() {
        return Stream.of(
                AttemptResult.failed(ErrorKind.OWNER_LOST),
                AttemptResult.refused(ErrorKind.OVERLOADED, Duration.ofMillis(1_500)),
                AttemptResult.failed(ErrorKind.NO_SERVER).withLoad(new GroupLoad(-1, Long.MAX_VALUE)));
    }

    @ParameterizedTest
    @MethodSource("results")
    void readsReplyAsWritten(AttemptResult result) {
        assertThat(peers.copy(new ForwardReply("t1", result))).isEqualTo(new ForwardReply("t1", result));
    }

    @Test
    void readsHealthEvidenceAsWritten() {
        LoopbackPeerExchange pair = new LoopbackPeerExchange("vm-9");
        pair.register(new ServiceTimesMessageCodec());
        pair.register(new ReachabilityQueryCodec());
        pair.register(new ReachabilityReplyCodec());
        List.of(
                        new ServiceTimesMessage("vagtbank", Map.of("vagtbank/claim", 5L, "vagtbank/shifts", 6L)),
                        new ReachabilityQuery("vagtbank-1"),
                        new ReachabilityReply("vagtbank-1", true))
                .forEach(message -> assertThat(pair.copy(message)).isEqualTo(message));
    }

    @ParameterizedTest
    @ValueSource(longs = {0, -1, Long.MIN_VALUE, Long.MAX_VALUE})
    void rejectsInvalidRemainingTime(long remainingMillis) throws IOException {
        ForwardRequestCodec codec = new ForwardRequestCodec(time);
        MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();
        codec.write(new ForwardRequest(request("t1", GROUP), remainingMillis), packer);

        Optional<IOException> failure = failure(codec, packer.toByteArray());

        assertThat(failure.map(Throwable::getMessage).orElse("")).contains("ms left but got " + remainingMillis);
    }

    private static Optional<IOException> failure(ForwardRequestCodec codec, byte[] bytes) {
        try {
            ForwardRequest unused = codec.read(MessagePack.newDefaultUnpacker(bytes));
            return Optional.empty();
        } catch (IOException e) {
            return Optional.of(e);
        }
    }

    @Override
    public Exchange send(BackendRequest request) {
        FakeExchange exchange = new FakeExchange(request);
        sent.add(exchange);
        return exchange;
    }

    @Override
    public CompletableFuture<Optional<ServerState>> probe(ServerSpec server, Duration timeout) {
        return CompletableFuture.completedFuture(Optional.empty());
    }

    private static final class FakeExchange implements Exchange {
        private final BackendRequest request;
        private final CompletableFuture<BackendResult> result = new CompletableFuture<>();
        private boolean isCancelled;

        FakeExchange(BackendRequest request) {
            this.request = request;
        }

        @Override
        public CompletableFuture<BackendResult> result() {
            return result;
        }

        @Override
        public void cancel(Duration limit) {
            isCancelled = true;
        }
    }
}
