package io.coppershelf.dispatch;

import io.coppershelf.catalog.BackendServer;
import io.coppershelf.catalog.Route;
import io.coppershelf.outcome.ErrorKind;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * The state machine of one request: events in, steps out. A request that must run at most once is retried only after
 * proof that it has not run, and it fails with the outcome not-run only if that is proved for every attempt. Not
 * thread-safe.
 */
public final class RequestPlan {
    /** Time after which a caller may retry after a refusal; full servers free slots within it. */
    static final Duration SHORT_RETRY_AFTER = Duration.ofMillis(400);
    /** Time after which a caller may retry if no server is known or reachable. */
    static final Duration LONG_RETRY_AFTER = Duration.ofSeconds(1);
    /** Failed connection attempts after which a request fails; each takes up to the connection timeout. */
    private static final int MAX_CONNECTION_FAILURES = 4;
    /** Other VMs to which a request is handed at most, one after the other, if they do not run it. */
    private static final int MAX_RELAYS = 3;

    private enum AttemptState {
        RUNNING,
        NOT_SENT,
        NOT_RUN,
        FAILED,
        LOST
    }

    private final Route route;
    private final AttemptAllocator allocator;
    private final long deadlineNanos;
    private final long slowNanos;
    private final long stallNanos;
    private final List<Attempt> attempts = new ArrayList<>();
    private final Set<String> usedServers = new HashSet<>();
    private final Set<InetSocketAddress> usedVms = new HashSet<>();
    private final int maxServers;
    private boolean isEnded;

    /**
     * Creates the plan of a request that has just been read.
     *
     * @param deadlineNanos the monotonic time by which the caller must have an answer
     * @param latency the typical latency of the service for this kind of requests
     */
    public RequestPlan(Route route, AttemptAllocator allocator, long deadlineNanos, TypicalLatency latency) {
        this(route, route.maxServers(), allocator, deadlineNanos, latency);
    }

    /**
     * Creates the plan of a request that has just been read.
     *
     * @param maxServers the number of servers to which it may be sent; fewer than the route allows if another VM has
     *     sent it before
     * @param deadlineNanos the monotonic time by which the caller must have an answer
     * @param latency the typical latency of the service for this kind of requests
     */
    public RequestPlan(
            Route route, int maxServers, AttemptAllocator allocator, long deadlineNanos, TypicalLatency latency) {
        this.route = route;
        this.maxServers = maxServers;
        this.allocator = allocator;
        this.deadlineNanos = deadlineNanos;
        slowNanos = latency.slowNanos(route.objective());
        stallNanos = latency.stallNanos(route.objective());
    }

    /** Starts the first attempt. */
    public List<PlanStep> start(long nowNanos) {
        return sendOrEnd("first", nowNanos);
    }

    /** Handles an attempt without a connection: the server has received nothing of the request. */
    public List<PlanStep> notSent(int attempt, long nowNanos) {
        return attemptEnded(attempt, AttemptState.NOT_SENT, nowNanos);
    }

    /** Handles a refusal in which the server states that the request has not run and will not. */
    public List<PlanStep> notRun(int attempt, long nowNanos) {
        return attemptEnded(attempt, AttemptState.NOT_RUN, nowNanos);
    }

    /**
     * Handles the end of an attempt by another VM that states that the request has not run and will not.
     *
     * @param servers the number of servers that the other VM sent it to
     * @param retryAfter the time after which the caller may retry, as the other VM states it
     */
    public List<PlanStep> relayNotRun(int attempt, int servers, Optional<Duration> retryAfter, long nowNanos) {
        attempts.get(attempt).servers = servers;
        attempts.get(attempt).retryAfter = retryAfter;
        return attemptEnded(attempt, AttemptState.NOT_RUN, nowNanos);
    }

    /** Handles an attempt whose connection ended or delivered no valid answer; the request may have run. */
    public List<PlanStep> lost(int attempt, long nowNanos) {
        return attemptEnded(attempt, AttemptState.LOST, nowNanos);
    }

    /** Handles an answer that reports a failure of the server. */
    public List<PlanStep> failed(int attempt, long nowNanos) {
        return attemptEnded(attempt, AttemptState.FAILED, nowNanos);
    }

    /** Handles an answer that is not a failure. */
    public List<PlanStep> answered(int attempt) {
        if (isEnded) {
            return List.of();
        }
        isEnded = true;
        return List.of(new PlanStep.Deliver(attempt));
    }

    /** Handles the expiry of the timer set for {@link #nextTimer}. */
    public List<PlanStep> timerExpired(long nowNanos) {
        if (isEnded) {
            return List.of();
        }
        if (nowNanos - deadlineNanos >= 0) {
            return end(nowNanos);
        }
        List<PlanStep> steps = new ArrayList<>();
        for (int i = 0; i < attempts.size(); i++) {
            Attempt attempt = attempts.get(i);
            boolean isSuspect = attempt.state == AttemptState.RUNNING && !attempt.isRelay;
            if (isSuspect && !attempt.isStalled && attempt.age(nowNanos) >= stallNanos) {
                attempt.isStalled = true;
                steps.add(new PlanStep.ReportStall(i));
            }
        }
        if (isHedgeDue(nowNanos)) {
            attempts.get(attempts.size() - 1).isHedged = true;
            nextAttempt("slow", nowNanos).ifPresent(steps::add);
        }
        return steps;
    }

    /** Ends the request before its deadline, as no answer can be awaited any longer. */
    public List<PlanStep> abort(long nowNanos) {
        return isEnded ? List.of() : end(nowNanos);
    }

    /** Returns when {@link #timerExpired} has to be called next. */
    public long nextTimer(long nowNanos) {
        long next = deadlineNanos;
        for (Attempt attempt : attempts) {
            if (attempt.state != AttemptState.RUNNING || attempt.isRelay) {
                continue;
            }
            if (!attempt.isHedged && route.kind().isRepeatable()) {
                next = Math.min(next, Math.max(nowNanos, attempt.sentNanos + slowNanos));
            }
            if (!attempt.isStalled) {
                next = Math.min(next, Math.max(nowNanos, attempt.sentNanos + stallNanos));
            }
        }
        return next;
    }

    /** Returns the largest number of servers that the request may be sent to. */
    public int maxServers() {
        return maxServers;
    }

    /** Returns the number of servers that the request was sent to. */
    public int serversReached() {
        return attempts.stream()
                .filter(attempt -> attempt.state != AttemptState.NOT_SENT)
                .mapToInt(attempt -> attempt.servers)
                .sum();
    }

    private boolean isHedgeDue(long nowNanos) {
        if (!route.kind().isRepeatable() || attempts.isEmpty()) {
            return false;
        }
        Attempt last = attempts.get(attempts.size() - 1);
        return runningAttempts() == 1
                && last.state == AttemptState.RUNNING
                && !last.isHedged
                && !last.isRelay
                && last.age(nowNanos) >= slowNanos;
    }

    private List<PlanStep> attemptEnded(int number, AttemptState state, long nowNanos) {
        Attempt attempt = attempts.get(number);
        if (isEnded || attempt.state != AttemptState.RUNNING) {
            return List.of();
        }
        attempt.state = state;
        if (runningAttempts() > 0) {
            return List.of();
        }
        boolean isProvedNotRun = state == AttemptState.NOT_SENT || state == AttemptState.NOT_RUN;
        if (!isProvedNotRun && !route.kind().isRepeatable()) {
            return end(nowNanos);
        }
        return sendOrEnd(state == AttemptState.NOT_SENT ? "no-connection" : "failed", nowNanos);
    }

    private List<PlanStep> sendOrEnd(String reason, long nowNanos) {
        if (nowNanos - deadlineNanos >= 0) {
            return end(nowNanos);
        }
        return nextAttempt(reason, nowNanos).map(List::of).orElseGet(() -> end(nowNanos));
    }

    private Optional<PlanStep> nextAttempt(String reason, long nowNanos) {
        int reached = serversReached();
        if (allocator.quarantine().isPresent()) {
            return Optional.empty();
        }
        if (reached >= maxServers) {
            return Optional.empty();
        }
        if (allocator.isCutOff()) {
            return relay(reached, nowNanos);
        }
        boolean hasFailedTooOften = connectionFailures() >= MAX_CONNECTION_FAILURES;
        if (hasFailedTooOften || allocator.isOutOfReach(usedServers)) {
            Optional<PlanStep> relay = relay(reached, nowNanos);
            if (relay.isPresent() || hasFailedTooOften) {
                return relay;
            }
        }
        Optional<BackendServer> server = allocator.choose(usedServers, isLastAttempt(reached));
        if (server.isEmpty() || (reached > 0 && !allocator.tryAcquireRetry(isProvedNotRun()))) {
            return Optional.empty();
        }
        usedServers.add(server.get().id());
        attempts.add(new Attempt(nowNanos));
        return Optional.of(new PlanStep.Send(attempts.size() - 1, server.get(), reason));
    }

    private Optional<PlanStep> relay(int reached, long nowNanos) {
        if (usedVms.size() >= MAX_RELAYS) {
            return Optional.empty();
        }
        Optional<InetSocketAddress> vm = allocator.relay(usedVms);
        if (vm.isEmpty() || (reached > 0 && !allocator.tryAcquireRetry(isProvedNotRun()))) {
            return Optional.empty();
        }
        usedVms.add(vm.get());
        Attempt attempt = new Attempt(nowNanos);
        attempt.isRelay = true;
        // Unless the other VM states a smaller number, it may have used all of them.
        attempt.servers = maxServers - reached;
        attempts.add(attempt);
        return Optional.of(new PlanStep.Relay(attempts.size() - 1, vm.get(), attempt.servers));
    }

    private boolean isProvedNotRun() {
        return attempts.stream()
                .allMatch(attempt -> attempt.state == AttemptState.NOT_SENT || attempt.state == AttemptState.NOT_RUN);
    }

    private int connectionFailures() {
        return (int) attempts.stream()
                .filter(attempt -> attempt.state == AttemptState.NOT_SENT && !attempt.isRelay)
                .count();
    }

    private boolean isLastAttempt(int reached) {
        return !route.kind().isRepeatable() || reached + 1 >= maxServers || !allocator.canRetry();
    }

    /**
     * Ends the request with the failure answer of a server if there is one, or else with an error whose outcome holds
     * for all attempts.
     */
    private List<PlanStep> end(long nowNanos) {
        isEnded = true;
        for (int i = 0; i < attempts.size(); i++) {
            if (attempts.get(i).state == AttemptState.FAILED) {
                return List.of(new PlanStep.Deliver(i));
            }
        }
        return List.of(failure(nowNanos));
    }

    private PlanStep failure(long nowNanos) {
        boolean mayHaveRun = attempts.stream()
                .anyMatch(attempt -> attempt.state == AttemptState.RUNNING || attempt.state == AttemptState.LOST);
        boolean isLate = nowNanos - deadlineNanos >= 0;
        if (mayHaveRun) {
            ErrorKind kind = isLate ? ErrorKind.DEADLINE_PASSED : ErrorKind.SERVER_LOST;
            return new PlanStep.Fail(kind, isLate ? "no answer in time" : "the answer was lost", Optional.empty());
        }
        Optional<Duration> quarantine = allocator.quarantine();
        if (quarantine.isPresent()) {
            return new PlanStep.Fail(
                    ErrorKind.REQUEST_QUARANTINED, "too many servers crashed while they ran this request", quarantine);
        }
        boolean isRefused = attempts.stream().anyMatch(attempt -> attempt.state == AttemptState.NOT_RUN);
        Optional<Duration> pause = allocator.pause();
        if (pause.isPresent()) {
            return new PlanStep.Fail(
                    ErrorKind.SERVER_REFUSED,
                    isRefused ? "the servers asked for a pause" : "all servers pause or are at their limit",
                    pause);
        }
        if (isRefused) {
            Duration retryAfter = attempts.stream()
                    .flatMap(attempt -> attempt.retryAfter.stream())
                    .max(Duration::compareTo)
                    .orElse(SHORT_RETRY_AFTER);
            return new PlanStep.Fail(ErrorKind.SERVER_REFUSED, "all servers asked were full", Optional.of(retryAfter));
        }
        return new PlanStep.Fail(ErrorKind.NO_SERVER, "no server could be reached", Optional.of(LONG_RETRY_AFTER));
    }

    private long runningAttempts() {
        return attempts.stream()
                .filter(attempt -> attempt.state == AttemptState.RUNNING)
                .count();
    }

    private static final class Attempt {
        private final long sentNanos;
        private AttemptState state = AttemptState.RUNNING;
        private boolean isStalled;
        private boolean isHedged;
        private boolean isRelay;
        private int servers = 1;
        private Optional<Duration> retryAfter = Optional.empty();

        Attempt(long sentNanos) {
            this.sentNanos = sentNanos;
        }

        long age(long nowNanos) {
            return nowNanos - sentNanos;
        }
    }
}
