package io.coppershelf.mesh;

import static com.google.common.truth.Truth.assertThat;

import io.coppershelf.health.estimate.Observation;
import io.coppershelf.poison.RequestFingerprint;
import io.coppershelf.testing.Catalogs;
import java.net.InetSocketAddress;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * Guards against a fleet whose VMs of two builds can't read each other. The expected bytes were written by the build
 * before tenants were introduced.
 */
final class UnchangedBytesTest {
    @Test
    void snapshotWithoutTenantsHasTheSameBytesAsBefore() {
        assertThat(hex(SnapshotCodec.encode(Optional.of(Snapshots.of(7)))))
                .isEqualTo("0207010791a16101a66c6564676572c4047f00000101a46865726506c3000791a172a4686f73"
                        + "74a32f612fa44f4e4345cf000000012a05f200ce77359400010291a66c6564676572cb3ff000"
                        + "000000000081a66c6564676572cd014acd4000ce04000000ceb2d05e00cf000000037e11d60090");
        assertThat(hex(SnapshotCodec.encode(Optional.empty()))).isEqualTo("02c0");
    }

    @Test
    void messagesHaveTheSameBytesAsBefore() {
        assertThat(hex(new MeshMessage.Members(
                        List.of(new MemberEntry(new InetSocketAddress("127.0.0.1", 7), "here", 3, 4, true)), true)))
                .isEqualTo("040191c4047f00000107a4686572650304c300c2c3");
        assertThat(hex(new MeshMessage.ServerReport(
                        List.of(-4L, 7L),
                        List.of(0, 3),
                        List.of(new MeshMessage.ServerObservation("i-1@5", Observation.STALL)))))
                .isEqualTo("040492fc0792000391a5692d31403503");
        assertThat(hex(new MeshMessage.ServerSummary(List.of(-4L, 7L), List.of(0, 3), List.of(2, 995))))
                .isEqualTo("040292fc079200039202cd03e3");
        assertThat(hex(new MeshMessage.ServerLeaving("i-1@5"))).isEqualTo("0405a5692d314035");
        assertThat(hex(new MeshMessage.ServerLimit("i-1@5", Optional.of(2.5))))
                .isEqualTo("0406a5692d314035cb4004000000000000");
        assertThat(hex(new MeshMessage.ServerLimit("i-1@5", Optional.empty()))).isEqualTo("0406a5692d314035c0");
        assertThat(hex(new MeshMessage.RequestCrashes(List.of(new MeshMessage.RequestCrash(
                        new RequestFingerprint(-5, 6), 2, List.of(8L), List.of(-4L, 7L), 200)))))
                .isEqualTo("040791fb0602910892fc07ccc8");
        assertThat(hex(new MeshMessage.RequestCleared(List.of(new RequestFingerprint(-5, 6)))))
                .isEqualTo("040891fb06");
        assertThat(hex(new MeshMessage.CatalogUpdate(
                        Catalogs.revision(1),
                        Catalogs.revision(2),
                        3,
                        40,
                        List.of(Catalogs.server("a", "here")),
                        List.of("b"))))
                .isEqualTo("040301010102032891a16101a66c6564676572c4047f00000101a46865726506c30091a162");
    }

    private static String hex(MeshMessage message) {
        return hex(MeshCodec.encode(message));
    }

    private static String hex(byte[] bytes) {
        return HexFormat.of().formatHex(bytes);
    }
}
