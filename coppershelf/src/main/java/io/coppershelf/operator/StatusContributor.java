package io.coppershelf.operator;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** A part that has something to show in the status of its VM. */
public interface StatusContributor {
    /** Adds what the part shows to the JSON document of the VM; called on an operator thread. */
    void describe(ObjectNode status);
}
