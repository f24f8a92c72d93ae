/* Acceptance of list edits: two operators at two instances, lost replies, and a third instance that
 * is cut off, refuses new work, and is then removed from the platform's list of instances.
 *
 * Invariants: once an edit has been reported as in force, no instance serves with an older version;
 * an edit is reported as committed only if its own write was applied; versions never decrease.
 * Seeded faults, each of which must violate an invariant:
 *   -DDROP_EARLY  the platform removes an instance that still serves;
 *   -DTRUST_LOST  an edit whose reply was lost counts as committed.
 */
#define INSTANCES 3
#define CUT_OFF_INSTANCE 2

byte rowVersion = 0;
byte rowEdit = 9;
/* The operator whose edit wrote each version. */
byte editOfVersion[4];
byte appliedVersion[INSTANCES];
/* The version that each instance has reported as applied in its heartbeats. */
byte reportedVersion[INSTANCES];
bool serving[INSTANCES];
bool listed[INSTANCES];
bool connected = true;
byte acceptedVersion = 0;

inline apply(instance, version)
{
    atomic {
        if
        :: version > appliedVersion[instance] -> appliedVersion[instance] = version
        :: else
        fi
    }
}

/* Reads the store and reports the applied version, as every instance does periodically. */
proctype Poller(byte instance)
{
end:
    do
    :: atomic {
            (instance != CUT_OFF_INSTANCE || connected) ->
            apply(instance, rowVersion);
            /* After a cut-off, an instance serves only once it has read the lists. */
            serving[instance] = true;
            reportedVersion[instance] = appliedVersion[instance];
            listed[instance] = true;
            assert(appliedVersion[instance] >= acceptedVersion)
        }
    od
}

/* Cuts one instance off. It refuses work after it has detected this, and only then is it removed
 * from the platform's list. */
proctype PartitionFault()
{
    connected = false;
#ifdef DROP_EARLY
    listed[CUT_OFF_INSTANCE] = false;
    serving[CUT_OFF_INSTANCE] = false;
#else
    serving[CUT_OFF_INSTANCE] = false;
    listed[CUT_OFF_INSTANCE] = false;
#endif
    connected = true
}

proctype Operator(byte me)
{
    byte expected;
    bool committed = false;
    bool replyLost = false;
    atomic {
        apply(me, rowVersion);
        expected = appliedVersion[me]
    };
    /* The conditional write. Its reply may be lost. */
    atomic {
        if
        :: rowVersion == expected ->
            rowVersion++;
            rowEdit = me;
            editOfVersion[rowVersion] = me;
            if
            :: committed = true
            :: replyLost = true
            fi
        :: else ->
            if
            :: skip
            :: replyLost = true
            fi
        fi
    };
    if
    :: replyLost ->
#ifdef TRUST_LOST
        committed = true
#else
        /* Reads the row back, which shows its own edit id or that of another edit. */
        atomic {
            if
            :: rowEdit == me -> committed = true
            :: else
            fi
        }
#endif
    :: else
    fi;
    if
    :: committed ->
        assert(editOfVersion[expected + 1] == me);
        apply(me, expected + 1);
        reportedVersion[me] = appliedVersion[me];
        /* In force once every listed instance has reported the version. */
        atomic {
            ((!listed[0] || reportedVersion[0] > expected)
             && (!listed[1] || reportedVersion[1] > expected)
             && (!listed[2] || reportedVersion[2] > expected));
            if
            :: expected + 1 > acceptedVersion -> acceptedVersion = expected + 1
            :: else
            fi;
            assert(!serving[0] || appliedVersion[0] >= acceptedVersion);
            assert(!serving[1] || appliedVersion[1] >= acceptedVersion);
            assert(!serving[2] || appliedVersion[2] >= acceptedVersion)
        }
    :: else
    fi
}

init
{
    atomic {
        byte i;
        for (i : 0 .. INSTANCES - 1) {
            serving[i] = true;
            listed[i] = true
        }
        editOfVersion[0] = 9;
        run Poller(0);
        run Poller(1);
        run Poller(2);
        run PartitionFault();
        run Operator(0);
        run Operator(1)
    }
}
