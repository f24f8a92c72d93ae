// What is known of the endpoints' processes: by the list, and by what they have stated themselves.
#include "Entry/EndpointDiscovery.h"

namespace Tanagerbay::Entry {

bool EndpointDiscovery::listsProcess(const Common::EndpointId &id, std::uint64_t incarnation) const
{
    const auto found = this->list.known.find(id);
    return found != this->list.known.end() && !found->second.removeAt
        && found->second.listed.entry.incarnation == incarnation;
}

std::optional<std::string> EndpointDiscovery::versionOf(const Common::EndpointId &id,
                                                        std::uint64_t incarnation) const
{
    return Entry::versionOf(this->list, id, incarnation);
}

std::optional<std::string> EndpointDiscovery::versionOf(const Serving::StreamOrigin &origin) const
{
    if (origin.isContradicted || origin.isPresumed)
        return std::nullopt;
    const auto version = this->versionOf(origin.endpoint, origin.incarnation);
    if (origin.isStated || !version)
        return version;
    const bool isCertain = *version == origin.version
        && this->hasRunSince(origin.endpoint, origin.incarnation, origin.connectedBy);
    return isCertain ? version : std::nullopt;
}

void EndpointDiscovery::noteStated(const Common::EndpointId &id, std::uint64_t incarnation,
                                   Common::Time askedAt)
{
    const Common::Time now = clockNow();
    Entry::noteStated(this->evidence, {id, incarnation}, askedAt, now);
    const auto found = this->list.known.find(id);
    // Where no start time is listed, nothing can differ from it.
    if (found == this->list.known.end() || found->second.listed.entry.incarnation == 0)
        return;
    const ListedEndpoint &listed = found->second.listed;
    noteStatedBeside(this->evidence, {id, incarnation}, listed.service, listed.entry.incarnation,
                     now);
    if (incarnation == listed.entry.incarnation)
        return;
    if (const auto version = this->namedVersion({id, incarnation}))
        Routing::noteVersion(this->state.versions, listed.service, *version, now);
    else if (this->unlistedHandler)
        this->unlistedHandler(listed.service, {id, incarnation});
}

Common::Time EndpointDiscovery::lastStatedAt(const Common::EndpointId &id) const
{
    const auto found = this->evidence.stated.find(id);
    return found == this->evidence.stated.end() ? Common::Time::min() : found->second.lastAskedAt;
}

bool EndpointDiscovery::hasUnlistedProcess(const std::string &service) const
{
    return hasUnlisted(this->evidence, service, clockNow() - Routing::kVersionMemory);
}

bool EndpointDiscovery::hadStated(const Common::EndpointId &id, std::uint64_t incarnation,
                                  Common::Time time) const
{
    return Entry::hadStated(this->evidence, {id, incarnation}, time);
}

bool EndpointDiscovery::hasRunSince(const Common::EndpointId &id, std::uint64_t incarnation,
                                    Common::Time time) const
{
    return this->listsProcess(id, incarnation)
        && Entry::hasRunSince(this->evidence, {id, incarnation}, time,
                              this->state.settings.bounds.endpointHeartbeat);
}

bool EndpointDiscovery::wasListed(const Common::EndpointId &id, Common::Time time) const
{
    return Entry::wasListed(this->evidence, id, time);
}

bool EndpointDiscovery::ranAt(const Common::EndpointId &id, std::uint64_t incarnation,
                              Common::Time time) const
{
    return this->wasListed(id, time) && this->hasRunSince(id, incarnation, time);
}

bool EndpointDiscovery::isOnlyProcess(const Common::EndpointId &id, std::uint64_t incarnation) const
{
    return this->listsProcess(id, incarnation)
        && Entry::isOnlyProcess(this->evidence, {id, incarnation},
                                clockNow() - Routing::kVersionMemory,
                                this->state.settings.bounds.endpointHeartbeat);
}

std::optional<std::string> EndpointDiscovery::namedVersion(const Routing::ProcessKey &process) const
{
    return Entry::namedVersion(this->evidence, {process.endpoint, process.incarnation});
}

Routing::ProcessNews EndpointDiscovery::processNewsOf(const ListedEndpoint &listed) const
{
    const auto known = this->list.known.find(listed.entry.id);
    if (known != this->list.known.end() && isFromSameProcess(known->second.listed, listed))
        return Routing::ProcessNews::Known;
    return this->hasReadAll ? Routing::ProcessNews::Started : Routing::ProcessNews::FirstReading;
}

} // namespace Tanagerbay::Entry
