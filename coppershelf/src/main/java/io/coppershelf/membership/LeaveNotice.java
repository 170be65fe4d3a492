package io.coppershelf.membership;

import io.coppershelf.kernel.ServiceName;

/** Tells the peers that this VM leaves; the daemon calls it first of all at a planned stop. */
public interface LeaveNotice {
    ServiceName<LeaveNotice> NAME = ServiceName.named("leave-notice", LeaveNotice.class);

    /** Marks this VM as leaving and tells the peers; a second call does nothing. */
    void leave();
}
