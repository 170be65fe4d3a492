package io.coppershelf.admission.internal.runtime;

import io.coppershelf.admission.GroupAction;

/** Carries out what a group's decisions want for the health of its servers. */
interface HealthActionExecutor {
    /** Carries out the action. */
    void perform(GroupAction action);
}
