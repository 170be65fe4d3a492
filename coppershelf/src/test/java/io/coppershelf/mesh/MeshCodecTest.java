package io.coppershelf.mesh;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.coppershelf.health.estimate.Observation;
import io.coppershelf.poison.RequestFingerprint;
import io.coppershelf.quota.QuotaMessage;
import io.coppershelf.testing.Catalogs;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class MeshCodecTest {
    @Test
    void everyMessageIsDecodedAsItWasEncoded() throws IOException {
        List<MeshMessage> messages = List.of(
                new MeshMessage.Members(
                        List.of(new MemberEntry(new InetSocketAddress("127.0.0.1", 7), "here", 3, 4, true)), true),
                new MeshMessage.ServerReport(
                        List.of(-4L, 7L),
                        List.of(0, 3),
                        List.of(new MeshMessage.ServerObservation("i-1@5", Observation.STALL))),
                new MeshMessage.ServerSummary(List.of(-4L, 7L), List.of(0, 3), List.of(2, 995)),
                new MeshMessage.ServerLeaving("i-1@5"),
                new MeshMessage.ServerLimit("i-1@5", Optional.of(2.5)),
                new MeshMessage.ServerLimit("i-1@5", Optional.empty()),
                new MeshMessage.RequestCrashes(List.of(new MeshMessage.RequestCrash(
                        new RequestFingerprint(-5, 6), 2, List.of(8L), List.of(-4L, 7L), 200))),
                new MeshMessage.RequestCleared(List.of(new RequestFingerprint(-5, 6))),
                new MeshMessage.Tokens(new QuotaMessage.Request("t", 4, -7, 3, 2, 1)),
                new MeshMessage.Tokens(new QuotaMessage.Grant("t", 4, 7, 0, 900)),
                new MeshMessage.CatalogUpdate(
                        Catalogs.revision(1),
                        Catalogs.revision(2),
                        3,
                        40,
                        List.of(Catalogs.server("a", "here")),
                        List.of("b")));
        for (MeshMessage message : messages) {
            assertThat(MeshCodec.decode(MeshCodec.encode(message))).isEqualTo(message);
        }
    }

    @Test
    void truncatedMessagesAreRefused() {
        byte[] complete = MeshCodec.encode(new MeshMessage.CatalogUpdate(
                Catalogs.revision(1),
                Catalogs.revision(2),
                3,
                40,
                List.of(Catalogs.server("a", "here")),
                List.of("b")));
        for (int length = 0; length < complete.length; length++) {
            byte[] truncated = Arrays.copyOf(complete, length);
            assertThrows(IOException.class, () -> MeshCodec.decode(truncated));
        }
    }

    /** Guards against an error for each message of a later build. */
    @Test
    void messageOfAnUnknownTypeIsReadWhateverItHolds() throws IOException {
        byte[] bytes = {4, 100, (byte) 0x91, (byte) 0xa1, 'x', (byte) 0xc1};
        assertThat(MeshCodec.decode(bytes)).isEqualTo(new MeshMessage.Unknown(100));
    }

    /** Guards against messages that are lost because a later build added a field. */
    @Test
    void fieldsBehindTheKnownOnesAreIgnored() throws IOException {
        for (MeshMessage message : List.of(
                new MeshMessage.Members(List.of(), true),
                new MeshMessage.ServerLeaving("i-1@5"),
                new MeshMessage.ServerLimit("i-1@5", Optional.empty()),
                new MeshMessage.RequestCleared(List.of()))) {
            byte[] known = MeshCodec.encode(message);
            byte[] longer = Arrays.copyOf(known, known.length + 2);
            longer[known.length] = (byte) 0x91;
            assertThat(MeshCodec.decode(longer)).isEqualTo(message);
        }
    }

    /** Guards against a report that is lost because of one observation that only a later build knows. */
    @Test
    void observationOfAnUnknownKindIsLeftOut() throws IOException {
        MeshMessage.ServerObservation known = new MeshMessage.ServerObservation("i-2@5", Observation.STALL);
        byte[] bytes = MeshCodec.encode(new MeshMessage.ServerReport(
                List.of(), List.of(), List.of(new MeshMessage.ServerObservation("i-1@5", Observation.STALL), known)));
        int kindOfTheFirst = 4 + 1 + "i-1@5".length() + 1;
        bytes[kindOfTheFirst] = 99;
        assertThat(MeshCodec.decode(bytes))
                .isEqualTo(new MeshMessage.ServerReport(List.of(), List.of(), List.of(known)));
    }

    @Test
    void otherVersionsAreRefused() {
        byte[] bytes = MeshCodec.encode(new MeshMessage.ServerLeaving("i-1@5"));
        bytes[0] = 9;
        IOException refused = assertThrows(IOException.class, () -> MeshCodec.decode(bytes));
        assertThat(refused).hasMessageThat().contains("version");
    }
}
