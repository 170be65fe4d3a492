package io.coppershelf.membership.internal;

import com.google.common.hash.Hashing;
import io.coppershelf.membership.Vm;
import io.coppershelf.membership.VmFields;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * An update about a VM that is disseminated by gossip.
 *
 * @param vm the VM
 * @param refutation how often this incarnation of the VM has refuted a report that it is suspected or gone
 * @param status the status of the VM
 */
record MemberUpdate(Vm vm, int refutation, MemberStatus status) {
    /** Returns whether this update supersedes the other one about the same VM. */
    boolean supersedes(MemberUpdate other) {
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

    /** Returns this update with the VM marked as leaving, which lasts for the rest of its incarnation. */
    MemberUpdate asLeaving() {
        Vm leavingVm =
                new Vm(vm.id(), vm.incarnation(), vm.dataCentre(), vm.host(), vm.peerPort(), vm.operatorPort(), true);
        return new MemberUpdate(leavingVm, refutation, status);
    }

    /** Returns a hash that is the same on all VMs; without the status, which the VMs learn at different times. */
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
