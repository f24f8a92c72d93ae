/* The ledger of calls with at-most-once execution: two senders with the same key, one row of the
 * table service, writes that are applied after any delay or whose replies are lost, crashes at any
 * step.
 *
 * Invariants: the call runs at most once, and a sender that told its caller "not run" never sends.
 * Seeded faults, each of which must violate an invariant:
 *   -DTAKE_OVER        a sender takes over the claim of another one;
 *   -DSEND_UNRESOLVED  a sender sends although it does not know whether its claim was committed.
 */
#define ABSENT 0
#define CLAIMED 1
#define VOIDED 2
#define NO_SENDER 9
#define NONE 0
#define COMMITTED 1
#define CONFLICT 2
#define MAX_WRITES 3

byte rowState = ABSENT;
byte rowSender = NO_SENDER;
byte rowVersion = 0;
byte runCount = 0;
bool sent[2];
bool toldNotRun[2];

/* Writes in progress: state to write, writer, expected version, request number. */
chan writes = [4] of { byte, byte, byte, byte };
byte result[2];
byte awaitedRequest[2];

active proctype Store()
{
    byte state, writer, version, requestNumber;
end:
    do
    :: writes?state, writer, version, requestNumber ->
        atomic {
            byte outcome = CONFLICT;
            if
            :: version == rowVersion ->
                rowState = state;
                rowSender = writer;
                rowVersion++;
                outcome = COMMITTED
            :: else
            fi;
            /* The reply is lost, or reaches the writer if it still waits for this request. */
            if
            :: awaitedRequest[writer] == requestNumber -> result[writer] = outcome
            :: true
            fi
        }
    od
}

inline write(state, version)
{
    atomic {
        requestNumber++;
        awaitedRequest[me] = requestNumber;
        result[me] = NONE;
        writes!state, me, version, requestNumber
    }
}

/* Waits for the reply, or times out at any time. */
inline awaitReply()
{
    if
    :: result[me] != NONE
    :: true
    fi;
    atomic {
        reply = result[me];
        awaitedRequest[me] = 0;
        result[me] = NONE
    }
}

proctype Sender(byte me)
{
    byte requestNumber = 0;
    byte reply = NONE;
    byte seenState, seenSender, seenVersion;
    byte expectedVersion = 0;

claim:
    if
    :: requestNumber >= MAX_WRITES -> goto giveUp
    :: else
    fi;
    write(CLAIMED, expectedVersion);
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

    /* Reads the row back. If the read fails, the sender gives up. */
    if
    :: goto giveUp
    :: atomic {
           seenState = rowState;
           seenSender = rowSender;
           seenVersion = rowVersion
       }
    fi;
    if
    :: seenState == CLAIMED && seenSender == me -> goto send
    :: seenState == CLAIMED && seenSender != me ->
#ifdef TAKE_OVER
        expectedVersion = seenVersion;
        goto claim
#else
        goto done
#endif
    :: seenState != CLAIMED ->
        expectedVersion = seenVersion;
        goto claim
    fi;

send:
    /* The sender may find that its send deadline has passed, or crash. */
    if
    :: goto giveUp
    :: goto done
    :: atomic {
           assert(!toldNotRun[me]);
           runCount++;
           sent[me] = true;
           assert(runCount <= 1)
       };
       goto done
    fi;

giveUp:
    atomic {
        assert(!sent[me]);
        toldNotRun[me] = true
    };
    /* Voids its claim in the background. It may crash at any step. */
    do
    :: goto done
    :: requestNumber < MAX_WRITES + 2 ->
        atomic {
            seenState = rowState;
            seenSender = rowSender;
            seenVersion = rowVersion
        };
        if
        :: seenVersion == 0 || (seenState == CLAIMED && seenSender == me) ->
            write(VOIDED, seenVersion);
            awaitReply();
            if
            :: reply == COMMITTED -> goto done
            :: else
            fi
        :: else -> goto done
        fi
    :: requestNumber >= MAX_WRITES + 2 -> goto done
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
