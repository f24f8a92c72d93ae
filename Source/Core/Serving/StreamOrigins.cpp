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

// Whether the stream has begun at two processes that may run different versions, as what is told of
// it names another one than what is known.
bool contradicts(const StreamOrigin &told, const StreamOrigin &known)
{
    if (told.isContradicted)
        return true;
    if (told.isPresumed || known.isPresumed)
        return false;
    const bool isSameEndpoint = told.endpoint == known.endpoint;
    // An instance that has passed the request on does not know where the stream began.
    if (told.endpoint.empty() || (isSameEndpoint && told.incarnation == known.incarnation))
        return false;
    if (told.isVersionKnown && known.isVersionKnown)
        return told.version != known.version;
    // Instances of earlier releases do not pass on which process it is while that is not confirmed.
    const bool mayBeSame = isSameEndpoint && (told.incarnation == 0 || known.incarnation == 0);
    return !mayBeSame;
}

// Makes the version unknown for good. Nothing is left by which it could be looked up, by instances
// of earlier releases either.
void contradict(StreamOrigin &origin)
{
    origin.isContradicted = true;
    origin.isVersionKnown = false;
    origin.isStated = false;
    origin.version.clear();
    origin.incarnation = 0;
}

// Adds where the stream began to an entry that holds only what is known of its end.
void addBeginning(StreamOrigin &known, const StreamOrigin &origin)
{
    StreamOrigin added = origin;
    added.expiresAt = known.expiresAt;
    added.doubtedEnd = known.doubtedEnd;
    added.doubtedEndpoint = known.doubtedEndpoint;
    added.lastBegunEvent = known.lastBegunEvent;
    known = std::move(added);
}

} // namespace

StreamOrigin presumedOrigin(const StreamOrigin &origin)
{
    StreamOrigin presumed = origin;
    presumed.isPresumed = true;
    presumed.isVersionKnown = false;
    presumed.isStated = false;
    presumed.version.clear();
    presumed.incarnation = 0;
    return presumed;
}

bool isUncertain(const StreamOrigins &origins, const StreamOrigin &origin)
{
    if (origin.isStated || origin.isContradicted || origin.isPresumed)
        return false;
    const auto replaced = origins.replaced.find({origin.endpoint, origin.incarnation});
    return replaced != origins.replaced.end() && origin.sentAt >= replaced->second.since;
}

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
    const auto found = origins.byAttempt.find(attempt);
    if (isUncertain(origins, origin)) {
        // It has begun nevertheless, at whatever version.
        StreamOrigin unknown = origin;
        unknown.isVersionKnown = false;
        if (found != origins.byAttempt.end() && contradicts(unknown, found->second))
            contradict(found->second);
        return;
    }
    // An instance that has passed the request on does not know where the stream began.
    if (origin.endpoint.empty() && found == origins.byAttempt.end())
        return;
    const auto [entry, added] = origins.byAttempt.try_emplace(attempt, origin);
    if (!added) {
        StreamOrigin &known = entry->second;
        const bool isSameProcess
            = known.endpoint == origin.endpoint && known.incarnation == origin.incarnation;
        if (known.isPresumed && !origin.isPresumed && !origin.endpoint.empty())
            addBeginning(known, origin);
        if (!known.isContradicted && contradicts(origin, known))
            contradict(known);
        if (!known.isContradicted && isSameProcess && !known.isVersionKnown
            && origin.isVersionKnown) {
            known.version = origin.version;
            known.isVersionKnown = true;
        }
        // Others may not have heard of the last doubt.
        if (origin.doubtedEnd >= known.doubtedEnd && origin.doubtedEnd) {
            known.doubtedEnd = origin.doubtedEnd;
            known.doubtedEndpoint = origin.doubtedEndpoint;
        }
        known.lastBegunEvent = std::max(known.lastBegunEvent, origin.lastBegunEvent);
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

std::optional<StreamOrigin> latestOrigin(StreamOrigins &origins, const std::string &attempt,
                                         const std::optional<StreamOrigin> &found,
                                         Common::Time neededUntil, Common::Time now)
{
    if (const StreamOrigin *known = findOrigin(origins, attempt, neededUntil, now))
        return *known;
    return found && !isUncertain(origins, *found) ? found : std::nullopt;
}

void forgetOrigins(StreamOrigins &origins, const Common::EndpointId &endpoint,
                   std::uint64_t incarnation, Common::Time since, Common::Time now)
{
    std::erase_if(origins.replaced,
                  [now](const auto &entry) { return entry.second.rememberedUntil <= now; });
    origins.replaced[{endpoint, incarnation}] = {since, now + kMaxStreamOriginLifetime};
    for (auto entry = origins.byAttempt.begin(); entry != origins.byAttempt.end();) {
        const auto next = std::next(entry);
        if (isUncertain(origins, entry->second))
            remove(origins, entry);
        entry = next;
    }
}

} // namespace Tanagerbay::Serving
