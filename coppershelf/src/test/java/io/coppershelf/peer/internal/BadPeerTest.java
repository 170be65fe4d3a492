package io.coppershelf.peer.internal;

import static com.google.common.truth.Truth.assertThat;

import io.coppershelf.membership.Vm;
import io.coppershelf.peer.LinkFilter;
import io.coppershelf.peer.PeerReply;
import io.coppershelf.peer.internal.ExchangeFixture.Member;
import io.coppershelf.peer.internal.ExchangeFixture.Text;
import io.coppershelf.peer.internal.ExchangeFixture.TextCodec;
import io.coppershelf.testing.Conditions;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

class BadPeerTest {
    private static final Vm KNOWN = new Vm("known", 1, "viborg", "127.0.0.1", 1, 1, false);
    private static final Vm UNKNOWN = new Vm("stranger", 1, "viborg", "127.0.0.1", 1, 1, false);
    private static final Vm OLD = new Vm("known", 0, "viborg", "127.0.0.1", 1, 1, false);

    private final ExchangeFixture fixture = new ExchangeFixture();
    private final Queue<String> receivedTexts = new ConcurrentLinkedQueue<>();

    @AfterEach
    void close() {
        fixture.close();
    }

    static Stream<Arguments> badConnections() throws IOException {
        byte[] validMessage = message(21, Envelope.Kind.ONE_WAY, "x");
        return Stream.of(
                Arguments.of("noise in place of a hello", noise(900), DropReason.FRAME_TOO_LONG),
                Arguments.of("a hello that is no hello", frame(noise(40)), DropReason.GARBLED),
                Arguments.of("a message before the hello", validMessage, DropReason.GARBLED),
                Arguments.of("a hello over its limit", header(1025), DropReason.FRAME_TOO_LONG),
                Arguments.of("a negative length", header(-1), DropReason.FRAME_TOO_LONG),
                Arguments.of("another version", hello(9, KNOWN, "target"), DropReason.GARBLED),
                Arguments.of("another target", hello(1, KNOWN, "other"), DropReason.WRONG_TARGET),
                Arguments.of("an old incarnation", hello(1, OLD, "target"), DropReason.OLD_INCARNATION),
                Arguments.of("a frame over 4 MB", after(KNOWN, header(4194305)), DropReason.FRAME_TOO_LONG),
                Arguments.of("a stranger's long frame", after(UNKNOWN, header(65537)), DropReason.FRAME_TOO_LONG),
                Arguments.of("a stranger's message", after(UNKNOWN, validMessage), DropReason.UNKNOWN_SENDER),
                Arguments.of(
                        "an unknown type",
                        after(KNOWN, message(99, Envelope.Kind.ONE_WAY, "x")),
                        DropReason.UNKNOWN_TYPE),
                Arguments.of("noise after the hello", after(KNOWN, frame(noise(60))), DropReason.GARBLED),
                Arguments.of("an empty frame", after(KNOWN, frame(new byte[0])), DropReason.GARBLED),
                Arguments.of("fields cut short", after(KNOWN, frame(cut(validMessage))), DropReason.GARBLED),
                Arguments.of(
                        "bytes after the fields", after(KNOWN, frame(lengthened(validMessage))), DropReason.GARBLED),
                Arguments.of(
                        "a reply to nothing",
                        after(KNOWN, message(21, Envelope.Kind.REPLY, "x")),
                        DropReason.LATE_REPLY),
                Arguments.of("a truncated frame", after(KNOWN, new byte[] {0, 0, 1}), DropReason.TRUNCATED));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("badConnections")
    void dropsAndCountsInvalidInputAndKeepsServing(String description, byte[] bytes, DropReason reason)
            throws IOException {
        Member target = target();

        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), target.vm.peerPort())) {
            socket.getOutputStream().write(bytes);
            socket.shutdownOutput();
            Conditions.await(() -> target.dropped(reason) >= 1);
        }

        assertThat(receivedTexts).isEmpty();
        Member peer = fixture.member("peer", LinkFilter.ALL);
        fixture.addToFleet(peer.vm);
        peer.exchange.register(new TextCodec(21));
        assertThat(peer.exchange
                        .request(target.vm, new Text("x"), Duration.ofSeconds(20))
                        .join())
                .isEqualTo(new PeerReply.Received(new Text("fine")));
    }

    @Test
    void survivesRandomBytesOfManyConnections() throws IOException {
        Member target = target();
        Random random = new Random(5);
        for (int i = 0; i < 200; i++) {
            byte[] bytes = new byte[random.nextInt(300)];
            random.nextBytes(bytes);
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), target.vm.peerPort())) {
                socket.getOutputStream().write(after(KNOWN, frame(bytes)));
                socket.shutdownOutput();
                socket.getInputStream().readAllBytes();
            }
        }
        Conditions.await(() -> target.dropped(DropReason.GARBLED) + target.dropped(DropReason.UNKNOWN_TYPE) == 200);
        assertThat(receivedTexts).isEmpty();
    }

    private Member target() {
        Member member = fixture.member("target", LinkFilter.ALL);
        fixture.addToFleet(member.vm);
        fixture.addToFleet(KNOWN);
        member.exchange.register(new TextCodec(21), (from, message, replies) -> {
            receivedTexts.add(message.text());
            replies.reply(new Text("fine"));
        });
        return member;
    }

    private static byte[] hello(int version, Vm sender, String target) throws IOException {
        return bytes(
                new Envelope(1, 0, Envelope.Kind.ONE_WAY, 0).frame(Hello.CODEC, new Hello(version, sender, target, 0)));
    }

    private static byte[] message(int typeId, Envelope.Kind kind, String text) throws IOException {
        return bytes(new Envelope(typeId, 7, kind, 0).frame(new TextCodec(typeId), new Text(text)));
    }

    private static byte[] after(Vm sender, byte[] rest) throws IOException {
        byte[] hello = hello(1, sender, "target");
        return ByteBuffer.allocate(hello.length + rest.length)
                .put(hello)
                .put(rest)
                .array();
    }

    private static byte[] frame(byte[] body) {
        return ByteBuffer.allocate(4 + body.length)
                .putInt(body.length)
                .put(body)
                .array();
    }

    private static byte[] header(int length) {
        return ByteBuffer.allocate(4).putInt(length).array();
    }

    private static byte[] cut(byte[] frame) {
        return ByteBuffer.allocate(frame.length - 5)
                .put(frame, 4, frame.length - 5)
                .array();
    }

    private static byte[] lengthened(byte[] frame) {
        return ByteBuffer.allocate(frame.length - 3)
                .put(frame, 4, frame.length - 4)
                .put((byte) 1)
                .array();
    }

    private static byte[] bytes(ByteBuffer buffer) {
        byte[] bytes = new byte[buffer.remaining()];
        buffer.get(bytes);
        return bytes;
    }

    private static byte[] noise(int size) {
        return "GET / HTTP/1.1\r\n".repeat(size / 16 + 1).substring(0, size).getBytes(StandardCharsets.US_ASCII);
    }
}
