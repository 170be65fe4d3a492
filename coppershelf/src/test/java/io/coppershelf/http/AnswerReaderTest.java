package io.coppershelf.http;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests what is read as an answer, byte by byte and without a connection. */
final class AnswerReaderTest {
    private static final Set<String> SINGLE = Set.of("Id", "Proof");
    private static final String OK = "HTTP/1.1 200 OK\r\n";
    private static final String WHOLE = OK + "Id: b\r\nContent-Length: 4\r\n\r\nbody";

    @ParameterizedTest
    @ValueSource(
            strings = {
                WHOLE,
                OK + "Id: b\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2;name=value\r\ndy\r\n0\r\nX: y\r\n\r\n",
                "HTTP/1.1 200 \u00c3\u0085\r\nContent-Length: 4\r\n\r\nbody",
                "HTTP/1.1 200\r\nContent-Length: 4\r\n\r\nbody",
                "HTTP/1.0 200 \r\nID : b\r\nContent-Length:4 \r\n\r\nbody",
                "HTTP/1.1 200 OK\nContent-Length: 4\n\nbody",
                OK + "Via: HTTP/1.1 10.0.0.1:80\r\nContent-Length: 4\r\n\r\nbody"
            })
    void answerIsReadWhateverTheBytesArriveInOneRead(String text) {
        for (int size = 1; size <= text.length(); size++) {
            assertThat(readInPieces(text, size)).containsExactly("200", "body", "end");
        }
    }

    @Test
    void answerWithoutALengthEndsWithItsConnection() {
        AnswerReader reader = new AnswerReader(SINGLE);
        assertThat(read(reader, OK + "Id: b\r\n\r\nbody")).containsExactly("200", "body");
        assertThat(reader.close()).isPresent();
    }

    @Test
    void interimAnswerIsFollowedByAnother() {
        assertThat(readInPieces("HTTP/1.1 102 Processing\r\n\r\n" + WHOLE, 7))
                .containsExactly("102", "end", "200", "body", "end")
                .inOrder();
    }

    /** Guards against the length of an answer to HEAD, for which no body comes, being waited for. */
    @Test
    void answerToHeadHasNoBody() {
        AnswerReader reader = new AnswerReader(SINGLE);
        reader.expectBody(false);
        assertThat(read(reader, OK + "Content-Length: 4\r\n\r\n")).containsExactly("200", "end");
    }

    /** Guards against a head that is put together from two answers. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 503 Service Unavailable\r\nProof: 1\r\nId: a\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nX-Note: a colon: and HTTP/1.1\r\nId: a\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.0 200\r\nTransfer-Encoding: chunked\r\nId: a\r\nConnection: keep-alive\r\n\r\n"
            })
    void beginningOfAnAnswerBeforeAnotherIsNoAnswer(String broken) {
        for (int cut = 1; cut < broken.length(); cut++) {
            String joined = broken.substring(0, cut) + WHOLE;
            assertWithMessage("after %s bytes", cut)
                    .that(assertThrows(InvalidAnswerException.class, () -> readInPieces(joined, joined.length())))
                    .hasMessageThat()
                    .isNotEmpty();
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "\r\n" + WHOLE,
                "HTTP/1.1  200 OK\r\n\r\n",
                "HTTP/1.1 +200 OK\r\n\r\n",
                "HTTP/1.1 20 OK\r\n\r\n",
                "HTTP/1.1 2000 OK\r\n\r\n",
                "HTTP/1.1 099 OK\r\n\r\n",
                "HTTP/1.1 600 OK\r\n\r\n",
                "HTTP/2.0 200 OK\r\n\r\n",
                "HTTP/1.1 200 O\0K\r\n\r\n",
                "http/1.1 200 OK\r\n\r\n",
                "HTTP/1.1 101 Switching Protocols\r\n\r\n",
                OK + "no colon\r\n\r\n",
                OK + ": no name\r\n\r\n",
                OK + "a name: x\r\n\r\n",
                OK + "X: y\r\n z\r\n\r\n",
                OK + "X: \0\r\n\r\n",
                OK + "X: y\rz\r\n\r\n",
                OK + "Id: a\r\nId: a\r\n\r\n",
                OK + "Proof: 1\r\nPROOF: 1\r\n\r\n",
                OK + "Content-Length: 4\r\nContent-Length: 4\r\n\r\nbody",
                OK + "Content-Length: 4, 4\r\n\r\nbody",
                OK + "Content-Length: +4\r\n\r\nbody",
                OK + "Content-Length:\r\n\r\nbody",
                OK + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                OK + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
                OK + "Transfer-Encoding: chunked\r\n\r\n\r\n",
                OK + "Transfer-Encoding: chunked\r\n\r\n-1\r\n",
                OK + "Transfer-Encoding: chunked\r\n\r\n0x1\r\n",
                OK + "Transfer-Encoding: chunked\r\n\r\n1 2\r\n",
                OK + "Transfer-Encoding: chunked\r\n\r\n1\r\nxy",
                OK + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + WHOLE
            })
    void bytesThatBreakTheStandardAreNoAnswer(String text) {
        assertThrows(InvalidAnswerException.class, () -> readInPieces(text, text.length()));
        assertThrows(InvalidAnswerException.class, () -> readInPieces(text, 1));
    }

    /** Guards against a head that fills the memory of the process. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "X: y\r\n",
                "X: yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy"
            })
    void headWithoutEndIsNoAnswer(String repeated) {
        String head = repeated.isEmpty() ? "HTTP/1.1 200 " + "y".repeat(5000) : OK + repeated.repeat(5000);
        assertThrows(InvalidAnswerException.class, () -> readInPieces(head, 100));
    }

    private static List<String> readInPieces(String text, int size) {
        AnswerReader reader = new AnswerReader(SINGLE);
        List<String> parts = new ArrayList<>();
        for (int start = 0; start < text.length(); start += size) {
            parts.addAll(read(reader, text.substring(start, Math.min(text.length(), start + size))));
        }
        return joinContents(parts);
    }

    private static List<String> read(AnswerReader reader, String text) {
        ByteBuf bytes = Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
        List<String> parts = new ArrayList<>();
        Optional<AnswerPart> part = reader.read(bytes);
        while (part.isPresent()) {
            parts.add(describe(part.get()));
            part = reader.read(bytes);
        }
        return parts;
    }

    private static String describe(AnswerPart part) {
        if (part instanceof AnswerPart.Head start) {
            return Integer.toString(start.head().status());
        }
        return part instanceof AnswerPart.Content content
                ? content.bytes().toString(StandardCharsets.ISO_8859_1)
                : "end";
    }

    private static List<String> joinContents(List<String> parts) {
        List<String> joined = new ArrayList<>();
        StringBuilder body = new StringBuilder();
        for (String part : parts) {
            boolean isContent = !part.equals("end") && !part.matches("[0-9]+");
            if (isContent) {
                body.append(part);
            } else {
                if (body.length() > 0) {
                    joined.add(body.toString());
                    body.setLength(0);
                }
                joined.add(part);
            }
        }
        return joined;
    }
}
