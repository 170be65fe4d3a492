package io.coppershelf.cli;

import io.coppershelf.cli.internal.DaemonAddress;
import io.coppershelf.cli.internal.FleetDiscovery;
import io.coppershelf.cli.internal.OperatorClient;
import java.util.List;

/** Reads the addresses given to a command. */
final class Addresses {
    private Addresses() {}

    /**
     * Reads one address.
     *
     * @throws UsageException if it has another form than {@code HOST:PORT}
     */
    static DaemonAddress parse(String text) {
        try {
            return DaemonAddress.parse(text);
        } catch (IllegalArgumentException e) {
            throw new UsageException(e.getMessage());
        }
    }

    /**
     * Reads addresses that are separated by commas.
     *
     * @param isFleet whether all daemons that the given ones know are added
     * @throws UsageException if one of them has another form than {@code HOST:PORT}
     */
    static List<DaemonAddress> parseAll(String text, boolean isFleet, OperatorClient client) {
        try {
            List<DaemonAddress> given = DaemonAddress.parseList(text);
            return isFleet ? FleetDiscovery.expand(given, client) : given;
        } catch (IllegalArgumentException e) {
            throw new UsageException(e.getMessage());
        }
    }
}
