package io.coppershelf.membership.internal;

import com.google.common.hash.Hashing;
import io.coppershelf.membership.Vm;
import io.coppershelf.membership.VmFields;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * A statement about a VM that peers pass on.
 *
 * @param vm the VM
 * @param refutation how often this incarnation of the VM has denied being gone
 * @param status what is said of it
 */
record MemberUpdate(Vm vm, int refutation, MemberStatus status) {
    /** Returns whether this statement replaces the other one about the same VM. */
    boolean replaces(MemberUpdate other) {
        if (vm.incarnation() != other.vm.incarnation()) {
            return vm.incarnation() > other.vm.incarnation();
        }
        if (refutation != other.refutation) {
            return refutation > other.refutation;
        }
        return status.code() > other.status.code();
    }

    MemberUpdate withStatus(MemberStatus newStatus) {
        return new MemberUpdate(vm, refutation, newStatus);
    }

    /** Returns the statement with the VM leaving, which it does for the rest of its incarnation. */
    MemberUpdate asLeaving() {
        Vm leaver =
                new Vm(vm.id(), vm.incarnation(), vm.dataCentre(), vm.host(), vm.peerPort(), vm.operatorPort(), true);
        return new MemberUpdate(leaver, refutation, status);
    }

    /** Returns a hash that is equal on all VMs and leaves out the status, which each VM sees at another time. */
    long hash() {
        String text = vm.id() + '/' + vm.incarnation() + '/' + vm.leaving() + '/' + refutation;
        return Hashing.murmur3_128().hashString(text, StandardCharsets.UTF_8).asLong();
    }

    void write(MessagePacker packer) throws IOException {
        VmFields.write(packer, vm);
        packer.packInt(refutation).packInt(status.code());
    }

    static MemberUpdate read(MessageUnpacker unpacker) throws IOException {
        Vm vm = VmFields.read(unpacker);
        int refutation = unpacker.unpackInt();
        int code = unpacker.unpackInt();
        for (MemberStatus status : MemberStatus.values()) {
            if (status.code() == code) {
                return new MemberUpdate(vm, refutation, status);
            }
        }
        throw new IOException("unknown status " + code + " of a VM");
    }
}
