package io.coppershelf.operator;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** Contributes to the status document of a VM. */
public interface StatusContributor {
    /** Adds the component's status to the JSON document of the VM; called on an operator thread. */
    void describe(ObjectNode status);
}
