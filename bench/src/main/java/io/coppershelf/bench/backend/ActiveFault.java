package io.coppershelf.bench.backend;

/**
 * A fault in force on one backend server.
 *
 * @param fault the fault
 * @param argument its argument, empty if it takes none
 * @param sinceMillis the wall clock at which it was switched on
 */
record ActiveFault(ServerFault fault, String argument, long sinceMillis) {
    /** Returns whether the fault stalls work at the given wall clock. */
    boolean isStalling(long nowMillis) {
        if (fault == ServerFault.STALL) {
            return true;
        }
        if (fault != ServerFault.FLAP) {
            return false;
        }
        long turn = (nowMillis - sinceMillis) / Long.parseLong(argument);
        return turn % 2 == 0;
    }

    /** Returns by how much the service time is multiplied. */
    double slowdown() {
        return switch (fault) {
            case SLOW -> Double.parseDouble(argument);
            case COLD -> 3.0;
            default -> 1.0;
        };
    }

    /** Returns whether requests for the path are answered with an error. */
    boolean isFailing(String path) {
        return fault == ServerFault.ERRORS && path.contains(argument);
    }

    /** Returns whether answers to the try are lost. */
    boolean isCutFrom(String attemptId) {
        return fault == ServerFault.CUT_OUT && attemptId.startsWith(argument);
    }
}
