package io.coppershelf.ticket;

/**
 * A backend server.
 *
 * @param name the name, unique over all services, such as {@code rotavis-3}
 * @param service the service that it belongs to
 * @param dataCentre the data centre in which it runs
 * @param host its IP address
 * @param port its TCP port
 * @param slots the number of requests that it runs at once
 * @param connections the number of connections that it accepts from the whole fleet
 * @param draining whether it must receive no new requests
 */
public record ServerSpec(
        String name,
        String service,
        String dataCentre,
        String host,
        int port,
        int slots,
        int connections,
        boolean draining)
        implements ObjectSpec {
    @Override
    public ObjectKey key() {
        return new ObjectKey(ObjectType.SERVER, name);
    }
}
