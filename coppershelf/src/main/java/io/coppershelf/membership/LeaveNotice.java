package io.coppershelf.membership;

import io.coppershelf.component.ComponentKey;

/** Tells the peers that this VM leaves; the daemon calls it first of all at a planned stop. */
public interface LeaveNotice {
    ComponentKey<LeaveNotice> NAME = ComponentKey.named("leave-notice", LeaveNotice.class);

    /** Marks this VM as leaving and tells the peers; a second call does nothing. */
    void leave();
}
