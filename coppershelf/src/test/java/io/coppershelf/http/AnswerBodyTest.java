package io.coppershelf.http;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.Unpooled;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class AnswerBodyTest {
    /** Guards against bytes that are lost or moved where a body is longer than its stated length or its buffers. */
    @ParameterizedTest
    @CsvSource({"0, 0, 1", "4, 4, 1", "0, 5000, 1", "65536, 65536, 1460", "0, 300000, 65536", "300000, 300000, 777"})
    void bodyIsTheBytesOfAllItsPieces(long statedLength, int size, int pieceBytes) {
        byte[] whole = new byte[size];
        new Random(1).nextBytes(whole);
        AnswerBody body = new AnswerBody(statedLength);
        for (int start = 0; start < size; start += pieceBytes) {
            body.append(Unpooled.wrappedBuffer(whole, start, Math.min(pieceBytes, size - start)));
        }
        assertThat(body.size()).isEqualTo(size);
        assertThat(body.toBytes()).isEqualTo(whole);
    }
}
