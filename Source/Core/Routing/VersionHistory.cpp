#include "Routing/VersionHistory.h"

#include <algorithm>
#include <charconv>

namespace Tanagerbay::Routing {

namespace {

// Followed by the start time of the process and the ID of its endpoint.
constexpr std::string_view kUnlistedPrefix = "(not listed) ";

} // namespace

void noteVersions(VersionHistory &history, const std::string &service, const Pool &pool,
                  Common::Time now)
{
    for (const Endpoint &endpoint : pool.endpoints)
        noteVersion(history, service, endpoint.version, now);
}

void noteVersion(VersionHistory &history, const std::string &service, const std::string &version,
                 Common::Time now)
{
    Common::Time &lastKnownAt = history.byService[service][version];
    lastKnownAt = std::max(lastKnownAt, now);
}

std::string unlistedVersion(const ProcessKey &process)
{
    return std::string(kUnlistedPrefix) + std::to_string(process.incarnation) + ' '
        + process.endpoint.value;
}

std::optional<ProcessKey> unlistedProcess(std::string_view version)
{
    if (!version.starts_with(kUnlistedPrefix))
        return std::nullopt;
    const std::string_view rest = version.substr(kUnlistedPrefix.size());
    const std::size_t space = rest.find(' ');
    ProcessKey process;
    const char *const end = rest.data() + std::min(space, rest.size());
    const auto [stoppedAt, error] = std::from_chars(rest.data(), end, process.incarnation);
    if (space == std::string_view::npos || error != std::errc() || stoppedAt != end)
        return std::nullopt;
    process.endpoint = Common::EndpointId(std::string(rest.substr(space + 1)));
    return process;
}

void mergeHistory(VersionHistory &history, const VersionHistory &other)
{
    for (const auto &[service, versions] : other.byService) {
        for (const auto &[version, at] : versions)
            noteVersion(history, service, version, at);
    }
    history.completeSince = std::min(history.completeSince, other.completeSince);
}

void dropVersionsBefore(VersionHistory &history, Common::Time before)
{
    for (auto &[service, versions] : history.byService)
        std::erase_if(versions, [before](const auto &entry) { return entry.second < before; });
    std::erase_if(history.byService, [](const auto &entry) { return entry.second.empty(); });
}

bool hasSeveralVersions(const VersionHistory &history, const std::string &service, const Pool &pool,
                        Common::Time since)
{
    std::optional<std::string> known;
    const auto isOther = [&known](const std::string &version) {
        if (!known)
            known = version;
        return *known != version;
    };
    for (const Endpoint &endpoint : pool.endpoints) {
        if (isOther(endpoint.version))
            return true;
    }
    const auto found = history.byService.find(service);
    return found != history.byService.end()
        && std::any_of(found->second.begin(), found->second.end(), [&](const auto &entry) {
               return entry.second >= since && isOther(entry.first);
           });
}

std::optional<std::string> onlyVersionSince(const VersionHistory &history,
                                            const std::string &service, const Pool &pool,
                                            Common::Time since)
{
    if (history.completeSince > since || pool.endpoints.empty())
        return std::nullopt;
    const std::string &version = pool.endpoints.front().version;
    const bool isSameInPool
        = std::all_of(pool.endpoints.begin(), pool.endpoints.end(),
                      [&](const Endpoint &endpoint) { return endpoint.version == version; });
    if (!isSameInPool)
        return std::nullopt;
    const auto found = history.byService.find(service);
    if (found == history.byService.end())
        return version;
    const bool wasSame
        = std::all_of(found->second.begin(), found->second.end(), [&](const auto &entry) {
              return entry.first == version || entry.second < since;
          });
    return wasSame ? std::optional(version) : std::nullopt;
}

} // namespace Tanagerbay::Routing
