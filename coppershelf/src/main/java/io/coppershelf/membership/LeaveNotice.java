package io.coppershelf.membership;

import io.coppershelf.component.ComponentKey;

/** Notifies the peers that this VM leaves; the first step of a planned stop of the daemon. */
public interface LeaveNotice {
    ComponentKey<LeaveNotice> NAME = ComponentKey.named("leave-notice", LeaveNotice.class);

    /** Marks this VM as leaving and notifies the peers; a second call has no effect. */
    void leave();
}
