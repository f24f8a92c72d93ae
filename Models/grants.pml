/* Blocks of a strict allowance: two instances, guarded writes that land at any time, lost replies,
 * crashes.
 *
 * Holds: no more is spent than the allowance.
 * With -DSPEND_UNREAD an instance spends a block whose reply was lost and whose row it could not
 * read, and the check must fail. With -DUNGUARDED the row is written without its version; so must
 * this.
 */
#define LIMIT 3
#define BLOCK 2
#define NONE 0
#define COMMITTED 1
#define CONFLICT 2
#define MOST_WRITES 3

byte granted = 0;
byte rowVersion = 0;
/* The latest grant of each instance, by the number of its request. */
byte latest[2];
byte spent = 0;
/* Writer, guarded version, size, number of the writer's request, granted total to write. */
chan net = [4] of { byte, byte, byte, byte };
byte result[2];
byte awaited[2];

active proctype Store()
{
    byte who, version, total, number;
end:
    do
    :: net?who, version, total, number ->
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
                latest[who] = number;
                outcome = COMMITTED
#ifndef UNGUARDED
            :: else
#endif
            fi;
            if
            :: awaited[who] == number -> result[who] = outcome
            :: true
            fi
        }
    od
}

proctype Instance(byte me)
{
    byte number = 0;
    byte left = 0;
    byte seenGranted, seenVersion, size, reply;

    do
    :: left > 0 ->
        atomic {
            left--;
            spent++;
            assert(spent <= LIMIT)
        }
    /* Crashes, with what it has in hand. */
    :: goto done
    :: left == 0 && number < MOST_WRITES ->
        atomic {
            seenGranted = granted;
            seenVersion = rowVersion
        };
        if
        :: seenGranted >= LIMIT -> goto done
        :: else
        fi;
        size = (LIMIT - seenGranted < BLOCK -> LIMIT - seenGranted : BLOCK);
        atomic {
            number++;
            awaited[me] = number;
            result[me] = NONE;
            net!me, seenVersion, seenGranted + size, number
        };
        if
        :: result[me] != NONE
        :: true
        fi;
        atomic {
            reply = result[me];
            awaited[me] = 0;
            result[me] = NONE
        };
        if
        :: reply == COMMITTED -> left = size
        :: reply == CONFLICT
        :: reply == NONE ->
            /* Reads the row back, which may fail: then the block counts as spent. */
            if
            :: atomic {
                   if
                   :: latest[me] == number -> left = size
                   :: else
                   fi
               }
            :: true ->
#ifdef SPEND_UNREAD
                left = size
#else
                skip
#endif
            fi
        fi
    :: left == 0 && number >= MOST_WRITES -> goto done
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
