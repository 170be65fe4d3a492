package io.coppershelf.bench.backend;

/**
 * A fault that is active on one backend server.
 *
 * @param fault the fault
 * @param argument its argument, empty if it takes none
 * @param sinceMillis the wall-clock time at which it was injected, in milliseconds since 1970
 */
record ActiveFault(ServerFault fault, String argument, long sinceMillis) {
    private static final double COLD_SLOWDOWN = 3.0;

    /** Returns whether the fault stalls work at the given wall-clock time. */
    boolean isStalling(long nowMillis) {
        if (fault == ServerFault.STALL) {
            return true;
        }
        if (fault != ServerFault.FLAP) {
            return false;
        }
        long phase = (nowMillis - sinceMillis) / Long.parseLong(argument);
        return phase % 2 == 0;
    }

    /** Returns the factor by which the service time is multiplied. */
    double slowdown() {
        return switch (fault) {
            case SLOW -> Double.parseDouble(argument);
            case COLD -> COLD_SLOWDOWN;
            default -> 1.0;
        };
    }

    /** Returns whether requests for the path are answered with an error. */
    boolean isFailing(String path) {
        return fault == ServerFault.ERRORS && path.contains(argument);
    }

    /** Returns whether answers to the attempt are lost. */
    boolean dropsAnswerTo(String attemptId) {
        return fault == ServerFault.CUT_OUT && attemptId.startsWith(argument);
    }
}
