/* Granting blocks of a strict allowance: two instances, conditional writes that are applied after
 * any delay, lost replies, crashes.
 *
 * Invariant: the units spent never exceed the allowance.
 * Seeded faults, each of which must violate the invariant:
 *   -DSPEND_UNREAD  an instance spends a block whose reply was lost and whose row it could not
 *                   read;
 *   -DUNGUARDED     the row is written without a check of its version.
 */
#define LIMIT 3
#define MAX_BLOCK_SIZE 2
#define NONE 0
#define COMMITTED 1
#define CONFLICT 2
#define MAX_WRITES 3

byte granted = 0;
byte rowVersion = 0;
/* The request number of the latest grant to each instance. */
byte latestGrant[2];
byte spent = 0;
/* Writes in progress: writer, expected version, granted total to write, request number. */
chan writes = [4] of { byte, byte, byte, byte };
byte result[2];
byte awaitedRequest[2];

active proctype Store()
{
    byte writer, version, total, requestNumber;
end:
    do
    :: writes?writer, version, total, requestNumber ->
        atomic {
            byte outcome = CONFLICT;
            if
#ifdef UNGUARDED
            :: true ->
#else
            :: version == rowVersion ->
#endif
                granted = total;
                rowVersion++;
                latestGrant[writer] = requestNumber;
                outcome = COMMITTED
#ifndef UNGUARDED
            :: else
#endif
            fi;
            if
            :: awaitedRequest[writer] == requestNumber -> result[writer] = outcome
            :: true
            fi
        }
    od
}

proctype Instance(byte me)
{
    byte requestNumber = 0;
    byte remaining = 0;
    byte seenGranted, seenVersion, size, reply;

    do
    :: remaining > 0 ->
        atomic {
            remaining--;
            spent++;
            assert(spent <= LIMIT)
        }
    /* Crashes, which loses its unspent units. */
    :: goto done
    :: remaining == 0 && requestNumber < MAX_WRITES ->
        atomic {
            seenGranted = granted;
            seenVersion = rowVersion
        };
        if
        :: seenGranted >= LIMIT -> goto done
        :: else
        fi;
        size = (LIMIT - seenGranted < MAX_BLOCK_SIZE -> LIMIT - seenGranted : MAX_BLOCK_SIZE);
        atomic {
            requestNumber++;
            awaitedRequest[me] = requestNumber;
            result[me] = NONE;
            writes!me, seenVersion, seenGranted + size, requestNumber
        };
        if
        :: result[me] != NONE
        :: true
        fi;
        atomic {
            reply = result[me];
            awaitedRequest[me] = 0;
            result[me] = NONE
        };
        if
        :: reply == COMMITTED -> remaining = size
        :: reply == CONFLICT
        :: reply == NONE ->
            /* Reads the row back. If that fails, the block counts as spent. */
            if
            :: atomic {
                   if
                   :: latestGrant[me] == requestNumber -> remaining = size
                   :: else
                   fi
               }
            :: true ->
#ifdef SPEND_UNREAD
                remaining = size
#else
                skip
#endif
            fi
        fi
    :: remaining == 0 && requestNumber >= MAX_WRITES -> goto done
    od;
done:
    skip
}

init
{
    atomic {
        run Instance(0);
        run Instance(1)
    }
}
