package io.coppershelf.cli;

import io.coppershelf.cli.internal.DaemonAddress;
import io.coppershelf.cli.internal.FleetDiscovery;
import io.coppershelf.cli.internal.OperatorClient;
import java.util.List;

/** Parses the daemon addresses that are given to a command. */
final class Addresses {
    private Addresses() {}

    /**
     * Parses one address.
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
     * Parses addresses that are separated by commas.
     *
     * @param isFleet whether to add all live daemons that the given ones report
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
