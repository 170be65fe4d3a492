package io.coppershelf.mesh;

import io.coppershelf.quota.QuotaMessage;
import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes and decodes the messages about tokens of tenants. */
final class TokenFields {
    private TokenFields() {}

    static void writeRequest(MessagePacker packer, QuotaMessage.Request request) throws IOException {
        packer.packString(request.tenant());
        packer.packLong(request.version());
        packer.packLong(request.number());
        packer.packInt(request.wanted());
        packer.packInt(request.returned());
        packer.packInt(request.spent());
    }

    static QuotaMessage.Request readRequest(MessageUnpacker unpacker) throws IOException {
        return new QuotaMessage.Request(
                unpacker.unpackString(),
                unpacker.unpackLong(),
                unpacker.unpackLong(),
                unpacker.unpackInt(),
                unpacker.unpackInt(),
                unpacker.unpackInt());
    }

    static void writeGrant(MessagePacker packer, QuotaMessage.Grant grant) throws IOException {
        packer.packString(grant.tenant());
        packer.packLong(grant.version());
        packer.packLong(grant.number());
        packer.packInt(grant.granted());
        packer.packInt(grant.retryAfterMillis());
    }

    static QuotaMessage.Grant readGrant(MessageUnpacker unpacker) throws IOException {
        return new QuotaMessage.Grant(
                unpacker.unpackString(),
                unpacker.unpackLong(),
                unpacker.unpackLong(),
                unpacker.unpackInt(),
                unpacker.unpackInt());
    }
}
