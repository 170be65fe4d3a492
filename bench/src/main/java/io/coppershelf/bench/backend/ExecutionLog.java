package io.coppershelf.bench.backend;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.LongAdder;

/** Counts how often each work item was started, over all backend servers of the process. */
final class ExecutionLog {
    private final ConcurrentMap<String, Integer> executions = new ConcurrentHashMap<>();
    private final ConcurrentMap<String, LongAdder> startedByServer = new ConcurrentHashMap<>();
    private final ConcurrentMap<String, LongAdder> receivedByServer = new ConcurrentHashMap<>();

    /** Records that a server received a request, whether it runs it or not. */
    void recordReceived(String server) {
        receivedByServer.computeIfAbsent(server, name -> new LongAdder()).increment();
    }

    /** Returns how many requests a server has received. */
    long receivedCount(String server) {
        LongAdder count = receivedByServer.get(server);
        return count == null ? 0 : count.sum();
    }

    /** Records that a server starts to run a work item. */
    void recordStart(String server, String workId) {
        startedByServer.computeIfAbsent(server, name -> new LongAdder()).increment();
        if (!workId.isEmpty()) {
            executions.merge(workId, 1, Integer::sum);
        }
    }

    /** Returns how often each work item was started, by its id. */
    Map<String, Integer> executions() {
        return Map.copyOf(executions);
    }

    /** Returns how many work items each server has started. */
    Map<String, Long> startedByServer() {
        Map<String, Long> copy = new TreeMap<>();
        startedByServer.forEach((server, count) -> copy.put(server, count.sum()));
        return copy;
    }
}
