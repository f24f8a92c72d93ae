#include "Serving/StreamOrigins.h"

#include <algorithm>

namespace Tanagerbay::Serving {

namespace {

using Entry = std::unordered_map<std::string, StreamOrigin>::iterator;

void remove(StreamOrigins &origins, Entry entry)
{
    origins.byExpiry.erase({entry->second.expiresAt, entry->first});
    origins.byAttempt.erase(entry);
}

void removeFirst(StreamOrigins &origins)
{
    remove(origins, origins.byAttempt.find(origins.byExpiry.begin()->second));
}

void removeExpired(StreamOrigins &origins, Common::Time now)
{
    while (!origins.byExpiry.empty() && origins.byExpiry.begin()->first <= now)
        removeFirst(origins);
}

void extend(StreamOrigins &origins, Entry entry, Common::Time expiresAt)
{
    if (expiresAt <= entry->second.expiresAt)
        return;
    origins.byExpiry.erase({entry->second.expiresAt, entry->first});
    entry->second.expiresAt = expiresAt;
    origins.byExpiry.insert({expiresAt, entry->first});
}

} // namespace

Common::Time originExpiry(Common::Time deadline, Common::Time now)
{
    return std::min(deadline + kStreamOriginMargin, now + kMaxStreamOriginLifetime);
}

void addOrigin(StreamOrigins &origins, const std::string &attempt, const StreamOrigin &origin,
               Common::Time now)
{
    removeExpired(origins, now);
    if (origin.expiresAt <= now)
        return;
    const auto [entry, added] = origins.byAttempt.try_emplace(attempt, origin);
    if (!added) {
        extend(origins, entry, origin.expiresAt);
        return;
    }
    origins.byExpiry.insert({origin.expiresAt, attempt});
    if (origins.byAttempt.size() > kMaxStreamOrigins)
        removeFirst(origins);
}

const StreamOrigin *findOrigin(StreamOrigins &origins, const std::string &attempt,
                               Common::Time neededUntil, Common::Time now)
{
    removeExpired(origins, now);
    const auto found = origins.byAttempt.find(attempt);
    if (found == origins.byAttempt.end())
        return nullptr;
    extend(origins, found, neededUntil);
    return &found->second;
}

void forgetOrigins(StreamOrigins &origins, const Common::EndpointId &endpoint,
                   std::uint64_t incarnation, Common::Time since)
{
    for (auto entry = origins.byAttempt.begin(); entry != origins.byAttempt.end();) {
        const StreamOrigin &origin = entry->second;
        const auto next = std::next(entry);
        if (origin.endpoint == endpoint && origin.incarnation == incarnation
            && origin.sentAt >= since)
            remove(origins, entry);
        entry = next;
    }
}

} // namespace Tanagerbay::Serving
