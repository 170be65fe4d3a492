package io.coppershelf.peer.internal;

import io.coppershelf.membership.Vm;
import io.coppershelf.membership.VmFields;
import io.coppershelf.peer.PeerMessage;
import io.coppershelf.peer.PeerMessageCodec;
import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * The first message in each direction of a connection.
 *
 * @param version the version of the peer protocol
 * @param sender the VM that sends it
 * @param target the id of the VM that the sender expects at the other end, empty if it knows only an address
 * @param targetIncarnation the incarnation that the sender expects, 0 for any
 */
record Hello(int version, Vm sender, String target, long targetIncarnation) implements PeerMessage {
    static final int VERSION = 1;
    static final PeerMessageCodec<Hello> CODEC = new Codec();

    private static final class Codec implements PeerMessageCodec<Hello> {
        @Override
        public int typeId() {
            return 1;
        }

        @Override
        public Class<Hello> type() {
            return Hello.class;
        }

        @Override
        public void write(Hello hello, MessagePacker packer) throws IOException {
            packer.packInt(hello.version);
            VmFields.write(packer, hello.sender);
            packer.packString(hello.target).packLong(hello.targetIncarnation);
        }

        @Override
        public Hello read(MessageUnpacker unpacker) throws IOException {
            int version = unpacker.unpackInt();
            Vm sender = VmFields.read(unpacker);
            return new Hello(version, sender, unpacker.unpackString(), unpacker.unpackLong());
        }
    }
}
