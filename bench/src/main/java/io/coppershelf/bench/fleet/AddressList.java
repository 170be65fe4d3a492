package io.coppershelf.bench.fleet;

import com.google.common.base.Splitter;
import java.net.URI;
import java.util.List;

/** Parses the address lists of the command line: {@code HOST:PORT} entries, separated by commas. */
public final class AddressList {
    private AddressList() {}

    /** Returns the base URI of each entry. */
    public static List<URI> parse(String list) {
        return Splitter.on(',')
                .splitToStream(list)
                .map(address -> URI.create("http://" + address))
                .toList();
    }
}
