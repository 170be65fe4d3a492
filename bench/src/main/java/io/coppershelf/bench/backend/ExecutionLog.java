package io.coppershelf.bench.backend;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.LongAdder;

/** Counts how often each piece of work was begun, over all backend servers of the process. */
final class ExecutionLog {
    private final ConcurrentMap<String, Integer> executions = new ConcurrentHashMap<>();
    private final ConcurrentMap<String, LongAdder> begunByServer = new ConcurrentHashMap<>();
    private final ConcurrentMap<String, LongAdder> receivedByServer = new ConcurrentHashMap<>();

    /** Records that a server was sent a piece of work, whether it runs it or not. */
    void receive(String server) {
        receivedByServer.computeIfAbsent(server, name -> new LongAdder()).increment();
    }

    /** Returns how many pieces of work a server was sent. */
    long received(String server) {
        LongAdder count = receivedByServer.get(server);
        return count == null ? 0 : count.sum();
    }

    /** Records that a server begins to run a piece of work. */
    void begin(String server, String workId) {
        begunByServer.computeIfAbsent(server, name -> new LongAdder()).increment();
        if (!workId.isEmpty()) {
            executions.merge(workId, 1, Integer::sum);
        }
    }

    /** Returns how often each piece of work was begun, by its id. */
    Map<String, Integer> executions() {
        return Map.copyOf(executions);
    }

    /** Returns how many pieces of work each server has begun. */
    Map<String, Long> begunByServer() {
        Map<String, Long> copy = new TreeMap<>();
        begunByServer.forEach((server, count) -> copy.put(server, count.sum()));
        return copy;
    }
}
