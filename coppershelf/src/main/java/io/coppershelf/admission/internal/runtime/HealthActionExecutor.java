package io.coppershelf.admission.internal.runtime;

import io.coppershelf.admission.GroupAction;

/** Performs the actions of a group that concern the health of its servers. */
interface HealthActionExecutor {
    /** Performs the action. */
    void perform(GroupAction action);
}
