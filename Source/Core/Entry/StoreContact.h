// Whether the store was away while an instance could not read it, so that entries of endpoints that
// live may have lapsed.
//
// A failed reading does not tell whether the store was away or this instance was cut off from it.
// Readings of other instances do, and an interruption that is shorter than an entry lives without
// heartbeats lets nothing lapse.
#pragma once

#include "Common/Time.h"

#include <optional>

namespace Tanagerbay::Entry {

// Period in which the store was read again and again. Both times are those at which a reading
// began.
struct ReadingRun
{
    Common::Time since;
    Common::Time last;
};

// Period in which the store may have been away.
struct StoreOutage
{
    Common::Time lastReadAt;
    Common::Time readAgainAt;
    // Until then, endpoints may register again that have lapsed in between.
    Common::Time graceEnd;
    // The store has returned from an older copy, so that entries are missing in any case.
    bool isRestored = false;
};

struct StoreContact
{
    // The latest run, by readings of this instance or of those that it follows.
    std::optional<ReadingRun> run;
    // A reading of this instance's own has failed since.
    bool hasFailed = false;
    // The last outage, unless it turned out to be none.
    std::optional<StoreOutage> outage;
};

void noteReadFailed(StoreContact &contact);

// Records a successful reading that began at `readAt`. Returns whether the store may have been away
// before it.
bool noteReadSucceeded(StoreContact &contact, Common::Time readAt, Common::Duration heartbeat,
                       Common::Time now);

// Records that the store has returned from an older copy.
void noteRestored(StoreContact &contact, Common::Time now);

// Takes note of readings of another instance. Returns whether they show that the store was not away
// in the last outage, which is none then.
bool noteOtherRun(StoreContact &contact, const ReadingRun &other, Common::Duration heartbeat);

// Returns until when removals from the list are put off; nothing if they take effect at once.
std::optional<Common::Time> graceEnd(const StoreContact &contact, Common::Time now);

} // namespace Tanagerbay::Entry
