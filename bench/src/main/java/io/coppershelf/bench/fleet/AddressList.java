package io.coppershelf.bench.fleet;

import com.google.common.base.Splitter;
import java.net.URI;
import java.util.List;

/** Addresses as the command line of the bench gives them: {@code HOST:PORT}, with commas. */
public final class AddressList {
    private AddressList() {}

    /** Returns the base address of each entry. */
    public static List<URI> parse(String list) {
        return Splitter.on(',')
                .splitToStream(list)
                .map(address -> URI.create("http://" + address))
                .toList();
    }
}
