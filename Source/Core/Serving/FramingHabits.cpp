#include "Serving/FramingHabits.h"

#include <algorithm>

namespace Tanagerbay::Serving {

namespace {

// Streams without framing that show the habit of a process, and of all with a version.
constexpr std::uint64_t kMinStreamsOfProcess = 4;
constexpr std::uint64_t kMinStreamsOfVersion = 8;
constexpr std::size_t kMaxEndpoints = 4096;

void dropOldest(FramingHabits &habits)
{
    const auto oldest = std::min_element(
        habits.byEndpoint.begin(), habits.byEndpoint.end(),
        [](const auto &a, const auto &b) { return a.second.lastAt < b.second.lastAt; });
    habits.byEndpoint.erase(oldest);
}

FramingCounts countsOfVersion(const FramingHabits &habits, const std::string &version)
{
    FramingCounts sum;
    for (const auto &[id, each] : habits.byEndpoint) {
        if (each.version != version)
            continue;
        sum.framed += each.streams.framed;
        sum.unframed += each.streams.unframed;
    }
    return sum;
}

} // namespace

void noteFraming(FramingHabits &habits, const FramingProcess &process, bool isFramed,
                 Common::Time now)
{
    if (process.incarnation == 0)
        return;
    if (!habits.byEndpoint.contains(process.endpoint) && habits.byEndpoint.size() >= kMaxEndpoints)
        dropOldest(habits);
    EndpointFraming &known = habits.byEndpoint[process.endpoint];
    if (process.incarnation < known.incarnation)
        return;
    if (known.incarnation != process.incarnation)
        known = {process.incarnation, process.version, {}, now};
    known.lastAt = now;
    ++(isFramed ? known.streams.framed : known.streams.unframed);
}

bool endsByClosing(const FramingHabits &habits, const FramingProcess &process)
{
    const auto found = habits.byEndpoint.find(process.endpoint);
    if (process.incarnation == 0 || found == habits.byEndpoint.end()
        || found->second.incarnation != process.incarnation)
        return false;
    const FramingCounts &own = found->second.streams;
    if (own.framed > 0)
        return false;
    if (own.unframed >= kMinStreamsOfProcess)
        return true;
    const FramingCounts all = countsOfVersion(habits, found->second.version);
    return all.framed == 0 && all.unframed >= kMinStreamsOfVersion;
}

} // namespace Tanagerbay::Serving
