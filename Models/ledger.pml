/* The ledger of once-only calls: two senders with the same key, one row of the table service,
 * writes that land at any time or whose replies are lost, crashes at any step.
 *
 * Holds: the call runs at most once, and no sender that told its caller "not run" ever sends.
 * With -DTAKE_OVER a sender takes over the claim of another, and the check must fail.
 * With -DSEND_UNRESOLVED a sender sends although its claim's fate is unknown; so must this.
 */
#define ABSENT 0
#define CLAIMED 1
#define VOIDED 2
#define NOBODY 9
#define NONE 0
#define COMMITTED 1
#define CONFLICT 2
#define MOST_WRITES 3

byte rowState = ABSENT;
byte rowBy = NOBODY;
byte rowVersion = 0;
byte ran = 0;
bool sent[2];
bool toldNotRun[2];

/* Writes under way: state to write, writer, guarded version, number of the writer's request. */
chan net = [4] of { byte, byte, byte, byte };
byte result[2];
byte awaited[2];

active proctype Store()
{
    byte state, who, version, number;
end:
    do
    :: net?state, who, version, number ->
        atomic {
            byte outcome = CONFLICT;
            if
            :: version == rowVersion ->
                rowState = state;
                rowBy = who;
                rowVersion++;
                outcome = COMMITTED
            :: else
            fi;
            /* The reply reaches only a writer that still waits for this request, or is lost. */
            if
            :: awaited[who] == number -> result[who] = outcome
            :: true
            fi
        }
    od
}

inline write(state, version)
{
    atomic {
        number++;
        awaited[me] = number;
        result[me] = NONE;
        net!state, me, version, number
    }
}

/* Waits for the reply, or stops waiting at any time. */
inline awaitReply()
{
    if
    :: result[me] != NONE
    :: true
    fi;
    atomic {
        reply = result[me];
        awaited[me] = 0;
        result[me] = NONE
    }
}

proctype Sender(byte me)
{
    byte number = 0;
    byte reply = NONE;
    byte seenState, seenBy, seenVersion;
    byte guard = 0;

claim:
    if
    :: number >= MOST_WRITES -> goto giveUp
    :: else
    fi;
    write(CLAIMED, guard);
    awaitReply();
    if
    :: reply == COMMITTED -> goto send
    :: reply == NONE ->
#ifdef SEND_UNRESOLVED
        goto send
#else
        skip
#endif
    :: reply == CONFLICT
    fi;

    /* Reads the row back. The read may fail, at most until the sender gives up. */
    if
    :: goto giveUp
    :: atomic {
           seenState = rowState;
           seenBy = rowBy;
           seenVersion = rowVersion
       }
    fi;
    if
    :: seenState == CLAIMED && seenBy == me -> goto send
    :: seenState == CLAIMED && seenBy != me ->
#ifdef TAKE_OVER
        guard = seenVersion;
        goto claim
#else
        goto done
#endif
    :: seenState != CLAIMED ->
        guard = seenVersion;
        goto claim
    fi;

send:
    /* The sender may find its claim expired, or crash. */
    if
    :: goto giveUp
    :: goto done
    :: atomic {
           assert(!toldNotRun[me]);
           ran++;
           sent[me] = true;
           assert(ran <= 1)
       };
       goto done
    fi;

giveUp:
    atomic {
        assert(!sent[me]);
        toldNotRun[me] = true
    };
    /* Voids its claim in the background, as long as it lives. */
    do
    :: goto done
    :: number < MOST_WRITES + 2 ->
        atomic {
            seenState = rowState;
            seenBy = rowBy;
            seenVersion = rowVersion
        };
        if
        :: seenVersion == 0 || (seenState == CLAIMED && seenBy == me) ->
            write(VOIDED, seenVersion);
            awaitReply();
            if
            :: reply == COMMITTED -> goto done
            :: else
            fi
        :: else -> goto done
        fi
    :: number >= MOST_WRITES + 2 -> goto done
    od;

done:
    skip
}

init
{
    atomic {
        run Sender(0);
        run Sender(1)
    }
}
