/*
 * The catalog of two VMs while the platform's store is restored from an older copy and assigns revisions again.
 *
 * The store has one registration of a server, whose content is the number of its write, and one configuration. It may be
 * copied at any time and restored from the last copy; it then starts a new era. The operator writes the newest
 * configuration again after a restore. VMs read the store, and send each other updates, which may be late or lost.
 *
 * Properties:
 *   P1  a VM whose list was confirmed at the current revision of the store has the content of the store;
 *   P2  the version of the configuration in force on a VM never decreases.
 *
 * bounds: 2 VMs, 2 restores, 3 revisions in an era, 6 writes, 1 update in transit to each VM
 * check: right -
 * check: broken BARE_REVISION
 * check: broken UPDATE_OF_ANY_ERA
 * check: broken CONFIGURATION_BY_REVISION
 */
#define VMS 2
#define MAX_REVISION 3
#define MAX_ERA 3
#define MAX_VERSION 2

byte era = 1, revision = 1, content = 1, version = 1;
byte copiedRevision = 1, copiedContent = 1, copiedVersion = 1;
byte writes = 1, newestVersion = 1;

byte vmEra[VMS], vmRevision[VMS], vmContent[VMS], vmVersion[VMS];

typedef Update { byte era; byte revision; byte content };
chan updates[VMS] = [1] of { Update };

active proctype Store() {
    do
    :: atomic { revision < MAX_REVISION && writes < 6 -> revision++; writes++; content = writes }
    :: atomic { revision < MAX_REVISION && newestVersion < MAX_VERSION ->
        revision++; newestVersion++; version = newestVersion }
    :: atomic { revision < MAX_REVISION && version < newestVersion -> revision++; version = newestVersion }
    :: atomic { copiedRevision = revision; copiedContent = content; copiedVersion = version }
    :: atomic { era < MAX_ERA ->
        era++; revision = copiedRevision; content = copiedContent; version = copiedVersion }
    od
}

inline useList(vm, newEra, newRevision, newContent) {
    vmEra[vm] = newEra; vmRevision[vm] = newRevision; vmContent[vm] = newContent
}

inline useConfiguration(vm) {
#ifdef CONFIGURATION_BY_REVISION
    assert(version >= vmVersion[vm]);
    vmVersion[vm] = version
#else
    if :: version > vmVersion[vm] -> vmVersion[vm] = version :: else fi
#endif
}

inline read(vm) {
#ifdef BARE_REVISION
    if
    :: revision > vmRevision[vm] -> useList(vm, era, revision, content); useConfiguration(vm)
    :: else
    fi;
    if :: revision == vmRevision[vm] -> assert(vmContent[vm] == content) :: else fi
#else
    if
    :: era != vmEra[vm] || revision > vmRevision[vm] ->
        useList(vm, era, revision, content); useConfiguration(vm)
    :: else -> assert(revision == vmRevision[vm] && vmContent[vm] == content)
    fi
#endif
}

active [VMS] proctype Vm() {
    byte self = _pid - 1;
    Update update;
    do
    :: atomic { read(self) }
    :: atomic { vmRevision[self] > 0 && nfull(updates[1 - self]) ->
        update.era = vmEra[self]; update.revision = vmRevision[self]; update.content = vmContent[self];
        updates[1 - self] ! update }
    :: atomic { updates[self] ? update ->
        if
        :: true /* lost */
#if defined(UPDATE_OF_ANY_ERA) || defined(BARE_REVISION)
        :: update.revision > vmRevision[self] -> useList(self, vmEra[self], update.revision, update.content)
#else
        :: update.era == vmEra[self] && update.revision > vmRevision[self] ->
            useList(self, update.era, update.revision, update.content)
#endif
        fi }
    od
}
