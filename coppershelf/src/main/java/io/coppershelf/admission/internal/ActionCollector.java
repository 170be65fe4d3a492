package io.coppershelf.admission.internal;

import io.coppershelf.admission.GroupAction;
import io.coppershelf.health.HealthCommands;
import io.coppershelf.health.ServerCondition;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Collects the actions of one event in order. */
public final class ActionCollector implements HealthCommands {
    private List<GroupAction> actions = new ArrayList<>();

    /** Adds an action. */
    public void add(GroupAction action) {
        actions.add(action);
    }

    /** Removes and returns the collected actions. */
    public List<GroupAction> removeAll() {
        List<GroupAction> collected = actions;
        actions = new ArrayList<>();
        return collected;
    }

    @Override
    public void requestGrant(String server, String reason) {
        add(new GroupAction.RequestGrant(server, reason));
    }

    @Override
    public void releaseGrant(String server) {
        add(new GroupAction.ReleaseGrant(server));
    }

    @Override
    public void probe(String server) {
        add(new GroupAction.Probe(server));
    }

    @Override
    public void queryReachability(String server) {
        add(new GroupAction.QueryReachability(server));
    }

    @Override
    public void cancel(String attemptId, String server) {
        add(new GroupAction.CancelOnServer(attemptId, server));
    }

    @Override
    public void shareServiceTimes(Map<String, Long> typicalNanos) {
        add(new GroupAction.ShareServiceTimes(typicalNanos));
    }

    @Override
    public void conditionChanged(String server, ServerCondition from, ServerCondition to, String reason) {
        add(new GroupAction.ConditionChanged(server, from, to, reason));
    }
}
