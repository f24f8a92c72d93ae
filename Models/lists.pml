/* Acceptance of list edits: two operators at two instances, lost replies, and a third instance that
 * is cut off, refuses new work, and is then dropped from the platform's list.
 *
 * Holds: once an edit was said to be in force, no instance serves with an older version; an edit is
 * said to be committed only if its own write landed; versions never fall.
 * With -DDROP_EARLY the platform drops an instance that still serves, and the check must fail.
 * With -DTRUST_LOST a lost reply counts as committed; so must this.
 */
#define INSTANCES 3
#define CUT 2

byte rowVersion = 0;
byte rowEdit = 9;
/* Which operator's edit made each version. */
byte editAt[4];
byte applied[INSTANCES];
/* What each instance is known to have applied, from its heartbeats. */
byte reported[INSTANCES];
bool serving[INSTANCES];
bool listed[INSTANCES];
bool connected = true;
byte accepted = 0;

inline apply(who, version)
{
    atomic {
        if
        :: version > applied[who] -> applied[who] = version
        :: else
        fi
    }
}

/* Reads the store and reports, as every instance does again and again. */
proctype Poller(byte who)
{
end:
    do
    :: atomic {
            (who != CUT || connected) ->
            apply(who, rowVersion);
            /* An instance serves again only once it has read the lists. */
            serving[who] = true;
            reported[who] = applied[who];
            listed[who] = true;
            assert(applied[who] >= accepted)
        }
    od
}

/* Cuts one instance off; it notices, refuses, and is dropped after that. */
proctype Cutter()
{
    connected = false;
#ifdef DROP_EARLY
    listed[CUT] = false;
    serving[CUT] = false;
#else
    serving[CUT] = false;
    listed[CUT] = false;
#endif
    connected = true
}

proctype Operator(byte me)
{
    byte expected;
    bool committed = false;
    bool lost = false;
    atomic {
        apply(me, rowVersion);
        expected = applied[me]
    };
    /* The guarded write; its reply may be lost. */
    atomic {
        if
        :: rowVersion == expected ->
            rowVersion++;
            rowEdit = me;
            editAt[rowVersion] = me;
            if
            :: committed = true
            :: lost = true
            fi
        :: else ->
            if
            :: skip
            :: lost = true
            fi
        fi
    };
    if
    :: lost ->
#ifdef TRUST_LOST
        committed = true
#else
        /* Reads the row back: its own edit id, or the next version of another. */
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
        assert(editAt[expected + 1] == me);
        apply(me, expected + 1);
        reported[me] = applied[me];
        /* In force once every listed instance has reported the version. */
        atomic {
            ((!listed[0] || reported[0] > expected) && (!listed[1] || reported[1] > expected)
             && (!listed[2] || reported[2] > expected));
            if
            :: expected + 1 > accepted -> accepted = expected + 1
            :: else
            fi;
            assert(!serving[0] || applied[0] >= accepted);
            assert(!serving[1] || applied[1] >= accepted);
            assert(!serving[2] || applied[2] >= accepted)
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
        editAt[0] = 9;
        run Poller(0);
        run Poller(1);
        run Poller(2);
        run Cutter();
        run Operator(0);
        run Operator(1)
    }
}
