#include "Routing/CachedParts.h"

#include "Common/Hash.h"

#include <algorithm>

namespace Tanagerbay::Routing {

namespace {

// A part that was sent longer ago may have made room for others.
constexpr std::chrono::seconds kMemory{30};
// Callers choose the names of parts, so that both are bounded.
constexpr std::size_t kMaxParts = 4096;
constexpr std::size_t kMaxSends = 16;

std::uint64_t processOf(const Endpoint &endpoint)
{
    return Common::hash64(endpoint.id.value, endpoint.incarnation);
}

} // namespace

void CachedParts::makeRoom(Common::Time now)
{
    // Half of the memory is freed at once, so that this is not repeated for each new part.
    for (Common::Duration memory = kMemory; this->records.size() > kMaxParts / 2; memory /= 2) {
        std::erase_if(this->records, [now, memory](const auto &entry) {
            return now - entry.second.back().at >= memory;
        });
        if (memory < Common::Milliseconds(1))
            this->records.clear();
    }
}

void CachedParts::noteSent(std::string_view part, const Endpoint &endpoint, Common::Time now)
{
    if (this->records.size() >= kMaxParts)
        this->makeRoom(now);
    Record &record = this->records[Common::hash64(part)];
    if (record.size() >= kMaxSends)
        record.erase(record.begin());
    record.push_back({processOf(endpoint), now});
}

bool CachedParts::wasSent(std::string_view part, const Endpoint &endpoint, Common::Time now) const
{
    const auto found = this->records.find(Common::hash64(part));
    if (found == this->records.end())
        return false;
    const std::uint64_t process = processOf(endpoint);
    return std::any_of(found->second.begin(), found->second.end(), [&](const Send &send) {
        return send.process == process && now - send.at < kMemory;
    });
}

std::uint32_t CachedParts::countSends(std::string_view part, Common::Time now) const
{
    const auto found = this->records.find(Common::hash64(part));
    if (found == this->records.end())
        return 0;
    return static_cast<std::uint32_t>(
        std::count_if(found->second.begin(), found->second.end(),
                      [now](const Send &send) { return now - send.at < kMemory; }));
}

} // namespace Tanagerbay::Routing
