/* A lease on sending commands to engines: two instances, a previous holder that may be paused at
 * any time, and two endpoints, one that checks fencing numbers and one that ignores them.
 *
 * Time is a counter. A process that does not step while time passes is paused. At the endpoint that
 * ignores fencing numbers, a command takes effect within MAX_COMMAND_DURATION after it was sent. At
 * the endpoint that checks them, it may be delayed without bound.
 *
 * Invariants: the endpoint that checks never executes a command with a smaller number after one
 * with a larger number (with -DCHECKED); at the other endpoint no command of an earlier holder
 * takes effect after one of a later holder (without -DCHECKED).
 * Seeded faults, each of which must violate an invariant:
 *   -DNO_ORDER_WAIT  a new holder does not wait for the maximum command duration;
 *   -DNO_LEASE_WAIT  a new holder does not wait for the end of the previous lease;
 *   -DNO_NUMBERS     the endpoint does not check fencing numbers (with -DCHECKED).
 */
#define END_OF_TIME 11
#define LEASE_DURATION 6
/* The sender stops waiting for a command after this time. The endpoint may execute it later. */
#define COMMAND_TIMEOUT 1
#define MAX_COMMAND_DURATION 3
#define MAX_TERMS 2
#define MAX_COMMANDS 2

byte now = 0;
byte rowVersion = 0;

/* The command in progress to the endpoint that ignores fencing numbers, at most one per sender. */
bool inProgress[2];
byte effectDeadline[2];
byte commandTerm[2];
byte lastTermUnchecked = 0;
/* Commands to the endpoint that checks fencing numbers, delayed without bound. */
chan delayedCommands = [3] of { byte };
byte lastNumberChecked = 0;

active proctype Clock()
{
    do
    :: atomic {
           now < END_OF_TIME && (!inProgress[0] || now < effectDeadline[0]) && (!inProgress[1] || now < effectDeadline[1]) ->
           now++
       }
    :: now == END_OF_TIME -> break
    od
}

#ifdef CHECKED
active proctype CheckedEndpoint()
{
    byte number;
end:
    do
    :: atomic {
           delayedCommands?number ->
           if
#ifndef NO_NUMBERS
           :: number < lastNumberChecked
#endif
           :: else ->
               assert(number >= lastNumberChecked);
               lastNumberChecked = number
           fi;
           number = 0
       }
    :: atomic {
           /* Commands may be reordered. */
           len(delayedCommands) > 1 -> delayedCommands?number;
           delayedCommands!number;
           number = 0
       }
    od
}
#else
active proctype UncheckedEndpoint()
{
end:
    do
    :: atomic {
           inProgress[0] ->
           inProgress[0] = false;
           effectDeadline[0] = 0;
           assert(commandTerm[0] >= lastTermUnchecked);
           lastTermUnchecked = commandTerm[0]
       }
    :: atomic {
           inProgress[1] ->
           inProgress[1] = false;
           effectDeadline[1] = 0;
           assert(commandTerm[1] >= lastTermUnchecked);
           lastTermUnchecked = commandTerm[1]
       }
    od
}
#endif

proctype Instance(byte me)
{
    byte version, seenVersion, seenAt, expiresAt, uncheckedCommandsFrom;
    byte commands = 0;
    byte terms = 0;
    bool noPreviousHolder;

watch:
    atomic {
        version = 0;
        expiresAt = 0;
        uncheckedCommandsFrom = 0;
        /* Reads the row and records when it first saw the version. */
        noPreviousHolder = (rowVersion == 0);
        seenVersion = rowVersion;
        seenAt = now
    };
    if
    :: terms >= MAX_TERMS || now >= END_OF_TIME -> goto done
    :: else
    fi;
#ifndef NO_LEASE_WAIT
    if
    :: noPreviousHolder
    :: !noPreviousHolder && now >= seenAt + LEASE_DURATION
    :: now >= END_OF_TIME -> goto done
    fi;
#endif
    /* The holder measures the duration from before the request. */
    expiresAt = now + LEASE_DURATION;
    atomic {
        if
        :: rowVersion == seenVersion ->
            rowVersion++;
            version = rowVersion;
            terms++
        :: else -> goto watch
        fi
    };
    /* The reply may be delayed without bound. */
    atomic {
        uncheckedCommandsFrom = now;
#ifndef NO_ORDER_WAIT
        if
        :: noPreviousHolder
        :: else -> uncheckedCommandsFrom = now + MAX_COMMAND_DURATION
        fi;
#endif
        seenAt = 0;
        seenVersion = 0;
        commands = 0
    };
    do
    :: commands >= MAX_COMMANDS || now + COMMAND_TIMEOUT >= expiresAt || now >= END_OF_TIME ->
       goto watch
#ifdef CHECKED
    :: atomic {
           now + COMMAND_TIMEOUT < expiresAt && nfull(delayedCommands) && commands < MAX_COMMANDS ->
           delayedCommands!version;
           commands++
       }
#else
    :: atomic {
           (now + COMMAND_TIMEOUT < expiresAt && now >= uncheckedCommandsFrom && !inProgress[me]
            && commands < MAX_COMMANDS) ->
           inProgress[me] = true;
           effectDeadline[me] = now + MAX_COMMAND_DURATION;
           commandTerm[me] = version;
           commands++
       }
#endif
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
