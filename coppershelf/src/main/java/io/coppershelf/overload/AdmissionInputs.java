package io.coppershelf.overload;

import java.time.Duration;

/**
 * The inputs of a decision, for the log.
 *
 * @param rank the urgency of the request
 * @param position the place of the request in the order of admission; it is admitted if below the threshold
 * @param threshold the threshold of the service
 * @param fill the requests at the servers for each slot
 * @param ages the ages of what the fill was estimated from
 * @param isViewIncomplete whether the fill comes from the answers to this VM alone, since reports of others are missing
 * @param work the typical time of such a request on a server
 */
public record AdmissionInputs(
        int rank,
        double position,
        double threshold,
        double fill,
        InputAges ages,
        boolean isViewIncomplete,
        Duration work) {}
