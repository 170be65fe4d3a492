package io.coppershelf.membership;

import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Reads and writes a {@link Vm} within a message between VMs. */
public final class VmFields {
    private VmFields() {}

    /** Writes the VM. */
    public static void write(MessagePacker packer, Vm vm) throws IOException {
        packer.packString(vm.id()).packLong(vm.incarnation()).packString(vm.dataCentre());
        packer.packString(vm.host()).packInt(vm.peerPort()).packInt(vm.operatorPort());
        packer.packBoolean(vm.leaving());
    }

    /**
     * Reads a VM.
     *
     * @throws IOException if the bytes do not encode a VM
     */
    public static Vm read(MessageUnpacker unpacker) throws IOException {
        return new Vm(
                unpacker.unpackString(),
                unpacker.unpackLong(),
                unpacker.unpackString(),
                unpacker.unpackString(),
                unpacker.unpackInt(),
                unpacker.unpackInt(),
                unpacker.unpackBoolean());
    }
}
