/* A lease on engine orders: two instances, an old holder that may be paused at any time, and two
 * endpoints, one that checks fencing numbers and one that ignores them.
 *
 * Time is a counter. A process that does not step while time passes is a paused one. An order acts
 * within the longest order's time of its sending at the endpoint that ignores numbers; at the other one it may be
 * delayed without bound.
 *
 * Holds: the endpoint that checks never acts on a smaller number after a larger one (-DCHECKED); at
 * the other endpoint no order of an earlier holder acts after one of a later holder (without it).
 * With -DNO_ORDER_WAIT the successor does not wait for the longest order, with -DNO_LEASE_WAIT it
 * does not wait for the lease's end, with -DNO_NUMBERS the endpoint does not check; each must fail.
 */
#define END_OF_TIME 11
#define DURATION 6
/* The sender stops waiting for an order after this time; the endpoint may act on it for longer. */
#define ORDER_TIMEOUT 1
#define LONGEST_ORDER 3
#define MOST_TERMS 2
#define MOST_ORDERS 2

byte now = 0;
byte rowVersion = 0;

/* The one order under way to the endpoint that ignores numbers, by sender. */
bool underWay[2];
byte actsBy[2];
byte orderTerm[2];
byte lastTermUnchecked = 0;
/* Orders to the endpoint that checks, delayed without bound. */
chan delayed = [3] of { byte };
byte lastNumberChecked = 0;

active proctype Clock()
{
    do
    :: atomic {
           now < END_OF_TIME && (!underWay[0] || now < actsBy[0]) && (!underWay[1] || now < actsBy[1]) ->
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
           delayed?number ->
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
           /* An order may overtake another. */
           len(delayed) > 1 -> delayed?number;
           delayed!number;
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
           underWay[0] ->
           underWay[0] = false;
           actsBy[0] = 0;
           assert(orderTerm[0] >= lastTermUnchecked);
           lastTermUnchecked = orderTerm[0]
       }
    :: atomic {
           underWay[1] ->
           underWay[1] = false;
           actsBy[1] = 0;
           assert(orderTerm[1] >= lastTermUnchecked);
           lastTermUnchecked = orderTerm[1]
       }
    od
}
#endif

proctype Instance(byte me)
{
    byte version, seenVersion, seenAt, expires, uncheckedFrom;
    byte orders = 0;
    byte terms = 0;
    bool clean;

watch:
    atomic {
        version = 0;
        expires = 0;
        uncheckedFrom = 0;
        /* Reads the row and remembers when it first saw the version. */
        clean = (rowVersion == 0);
        seenVersion = rowVersion;
        seenAt = now
    };
    if
    :: terms >= MOST_TERMS || now >= END_OF_TIME -> goto done
    :: else
    fi;
#ifndef NO_LEASE_WAIT
    if
    :: clean
    :: !clean && now >= seenAt + DURATION
    :: now >= END_OF_TIME -> goto done
    fi;
#endif
    /* The time counts from before the request. */
    expires = now + DURATION;
    atomic {
        if
        :: rowVersion == seenVersion ->
            rowVersion++;
            version = rowVersion;
            terms++
        :: else -> goto watch
        fi
    };
    /* The reply may take any time to arrive. */
    atomic {
        uncheckedFrom = now;
#ifndef NO_ORDER_WAIT
        if
        :: clean
        :: else -> uncheckedFrom = now + LONGEST_ORDER
        fi;
#endif
        seenAt = 0;
        seenVersion = 0;
        orders = 0
    };
    do
    :: orders >= MOST_ORDERS || now + ORDER_TIMEOUT >= expires || now >= END_OF_TIME -> goto watch
#ifdef CHECKED
    :: atomic {
           now + ORDER_TIMEOUT < expires && nfull(delayed) && orders < MOST_ORDERS ->
           delayed!version;
           orders++
       }
#else
    :: atomic {
           (now + ORDER_TIMEOUT < expires && now >= uncheckedFrom && !underWay[me] && orders < MOST_ORDERS) ->
           underWay[me] = true;
           actsBy[me] = now + LONGEST_ORDER;
           orderTerm[me] = version;
           orders++
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
