#include "Entry/StoreContact.h"

#include <algorithm>
#include <utility>

namespace Tanagerbay::Entry {

namespace {

// An entry lapses after three heartbeats without one, the first of which may just have passed when
// the store goes away.
constexpr int kHeartbeatsBeforeLapse = 2;
// Endpoints that are alive register again within this time after the store's return.
constexpr Common::Milliseconds kGracePeriod{2000};

// Whether there is no gap between two readings in which an entry could have lapsed.
bool isGapless(Common::Time earlier, Common::Time later, Common::Duration heartbeat)
{
    return later - earlier < kHeartbeatsBeforeLapse * heartbeat;
}

} // namespace

void noteReadFailed(StoreContact &contact)
{
    contact.hasFailed = true;
}

bool noteReadSucceeded(StoreContact &contact, Common::Time readAt, Common::Duration heartbeat,
                       Common::Time now)
{
    const bool hadFailed = std::exchange(contact.hasFailed, false);
    if (contact.run && isGapless(contact.run->last, readAt, heartbeat)) {
        contact.run->last = std::max(contact.run->last, readAt);
        return false;
    }
    const auto before = std::exchange(contact.run, ReadingRun{readAt, readAt});
    if (!before || !hadFailed)
        return false;
    const bool isRestored = graceEnd(contact, now) && contact.outage->isRestored;
    contact.outage = {before->last, readAt, now + kGracePeriod, isRestored};
    return true;
}

void noteRestored(StoreContact &contact, Common::Time now)
{
    contact.outage = {now, now, now + kGracePeriod, true};
}

bool noteOtherRun(StoreContact &contact, const ReadingRun &other, Common::Duration heartbeat)
{
    if (!contact.outage || contact.outage->isRestored
        || !isGapless(contact.outage->lastReadAt, other.since, heartbeat)
        || !isGapless(other.last, contact.outage->readAgainAt, heartbeat))
        return false;
    contact.run->since = std::min(contact.run->since, other.since);
    contact.outage.reset();
    return true;
}

std::optional<Common::Time> graceEnd(const StoreContact &contact, Common::Time now)
{
    if (!contact.outage || contact.outage->graceEnd <= now)
        return std::nullopt;
    return contact.outage->graceEnd;
}

} // namespace Tanagerbay::Entry
