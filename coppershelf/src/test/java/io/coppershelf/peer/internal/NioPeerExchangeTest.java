package io.coppershelf.peer.internal;

import static com.google.common.truth.Truth.assertThat;

import io.coppershelf.membership.Vm;
import io.coppershelf.peer.LinkFilter;
import io.coppershelf.peer.PeerReply;
import io.coppershelf.peer.internal.ExchangeFixture.Member;
import io.coppershelf.peer.internal.ExchangeFixture.Text;
import io.coppershelf.peer.internal.ExchangeFixture.TextCodec;
import io.coppershelf.testing.Conditions;
import io.coppershelf.testing.FreePorts;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class NioPeerExchangeTest {
    private static final Duration LONG = Duration.ofSeconds(20);
    private static final Duration SHORT = Duration.ofSeconds(1);

    private final ExchangeFixture fixture = new ExchangeFixture();
    private final LinkedBlockingQueue<String> receivedTexts = new LinkedBlockingQueue<>();

    @AfterEach
    void close() {
        fixture.close();
    }

    @Test
    void matchesEachReplyToItsRequest() {
        Member sender = silentMember("a");
        Member target = echoMember("b", LinkFilter.ALL);

        List<CompletableFuture<PeerReply>> replies = new ArrayList<>();
        for (int i = 0; i < 500; i++) {
            replies.add(sender.exchange.request(target.vm, new Text("n" + i), LONG));
        }

        for (int i = 0; i < 500; i++) {
            assertThat(replies.get(i).join()).isEqualTo(new PeerReply.Received(new Text("echo n" + i)));
        }
    }

    @Test
    void deliversOneWayMessagesWithTheirSender() throws InterruptedException {
        Member sender = silentMember("a");
        Member target = echoMember("b", LinkFilter.ALL);

        sender.exchange.send(target.vm, new Text("hello"));

        assertThat(receivedTexts.poll(20, TimeUnit.SECONDS)).isEqualTo("a: hello");
    }

    @Test
    void repliesToItself() {
        Member member = echoMember("a", LinkFilter.ALL);

        assertThat(member.exchange.request(member.vm, new Text("x"), LONG).join())
                .isEqualTo(new PeerReply.Received(new Text("echo x")));
    }

    @Test
    void reportsNotSentWhenNothingListens() {
        Member sender = silentMember("a");
        Vm absent = new Vm("b", 1, "herning", "127.0.0.1", FreePorts.address().getPort(), 0, false);

        assertThat(sender.exchange.request(absent, new Text("x"), LONG).join()).isEqualTo(new PeerReply.NotSent());
    }

    @Test
    void reportsNotSentWhenTheMessageIsTooLong() {
        Member sender = silentMember("a");
        Member target = echoMember("b", LinkFilter.ALL);

        String text = "x".repeat(5 * 1024 * 1024);
        assertThat(sender.exchange.request(target.vm, new Text(text), LONG).join())
                .isEqualTo(new PeerReply.NotSent());
    }

    @Test
    void reportsLostWhenThePeerNeverReplies() throws InterruptedException {
        Member sender = silentMember("a");
        Member target = silentMember("b");

        CompletableFuture<PeerReply> reply = sender.exchange.request(target.vm, new Text("x"), SHORT);

        assertThat(receivedTexts.poll(20, TimeUnit.SECONDS)).isEqualTo("a: x");
        assertThat(reply.join()).isEqualTo(new PeerReply.Lost());
    }

    @Test
    void reportsLostWhenTheConnectionEndsAfterSending() throws Exception {
        Member sender = silentMember("a");
        Member target = silentMember("b");

        CompletableFuture<PeerReply> reply = sender.exchange.request(target.vm, new Text("x"), LONG);
        assertThat(receivedTexts.poll(20, TimeUnit.SECONDS)).isEqualTo("a: x");
        target.exchange.close();

        assertThat(reply.join()).isEqualTo(new PeerReply.Lost());
    }

    @Test
    void dropsTheSecondAndTheLateReply() {
        Member sender = silentMember("a");
        Member target = echoMember("b", LinkFilter.ALL);
        Member late = fixture.member("c", LinkFilter.ALL);
        fixture.addToFleet(late.vm);
        CompletableFuture<Runnable> reply = new CompletableFuture<>();
        late.exchange.register(
                new TextCodec(21), (from, message, replies) -> reply.complete(() -> replies.reply(new Text("late"))));

        assertThat(sender.exchange.request(late.vm, new Text("x"), SHORT).join())
                .isEqualTo(new PeerReply.Lost());
        reply.join().run();

        assertThat(sender.exchange.request(target.vm, new Text("y"), LONG).join())
                .isEqualTo(new PeerReply.Received(new Text("echo y")));
        Conditions.await(() -> sender.dropped(DropReason.LATE_REPLY) == 1);
    }

    @Test
    void losesMessagesOnlyInTheDirectionThatIsCut() throws InterruptedException {
        LinkFilter cut = (from, to) -> !(from.equals("a") && to.equals("b"));
        Member sender = silentMember("a", cut);
        Member target = echoMember("b", cut);

        assertThat(sender.exchange.request(target.vm, new Text("x"), SHORT).join())
                .isEqualTo(new PeerReply.Lost());
        assertThat(receivedTexts).isEmpty();
        CompletableFuture<PeerReply> back = target.exchange.request(sender.vm, new Text("x"), SHORT);
        assertThat(receivedTexts.poll(20, TimeUnit.SECONDS)).isEqualTo("b: x");
        assertThat(back.join()).isEqualTo(new PeerReply.Lost());
    }

    @Test
    void rejectsAConnectionToAnEarlierIncarnation() {
        Member sender = silentMember("a");
        Member target = echoMember("b", LinkFilter.ALL);
        Vm earlier = new Vm("b", 0L - 5, "herning", "127.0.0.1", target.vm.peerPort(), 0, false);

        assertThat(sender.exchange.request(earlier, new Text("x"), LONG).join()).isEqualTo(new PeerReply.Lost());
        assertThat(receivedTexts).isEmpty();
        assertThat(target.dropped(DropReason.WRONG_TARGET)).isEqualTo(1);
    }

    @Test
    void closesTheConnectionsOfAReplacedIncarnation() {
        Member sender = silentMember("a");
        Member target = echoMember("b", LinkFilter.ALL);
        assertThat(sender.exchange.request(target.vm, new Text("x"), LONG).join())
                .isEqualTo(new PeerReply.Received(new Text("echo x")));
        CompletableFuture<PeerReply> open = sender.exchange.request(target.vm, new Text("silence"), LONG);

        fixture.addToFleet(new Vm("b", 2, "herning", "127.0.0.1", target.vm.peerPort(), 0, false));

        assertThat(open.join()).isEqualTo(new PeerReply.Lost());
    }

    private Member silentMember(String id) {
        return silentMember(id, LinkFilter.ALL);
    }

    private Member silentMember(String id, LinkFilter filter) {
        Member member = fixture.member(id, filter);
        fixture.addToFleet(member.vm);
        member.exchange.register(
                new TextCodec(21), (from, message, replies) -> receivedTexts.add(from + ": " + message.text()));
        return member;
    }

    private Member echoMember(String id, LinkFilter filter) {
        Member member = fixture.member(id, filter);
        fixture.addToFleet(member.vm);
        member.exchange.register(new TextCodec(21), (from, message, replies) -> {
            receivedTexts.add(from + ": " + message.text());
            if (!message.text().equals("silence")) {
                replies.reply(new Text("echo " + message.text()));
                replies.reply(new Text("echo twice"));
            }
        });
        return member;
    }
}
