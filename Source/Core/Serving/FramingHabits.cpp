#include "Serving/FramingHabits.h"

#include <algorithm>

namespace Tanagerbay::Serving {

namespace {

// Streams without framing that show the habit of a process, and of a whole service.
constexpr std::uint64_t kMinStreamsOfProcess = 4;
constexpr std::uint64_t kMinStreamsOfService = 8;
constexpr std::size_t kMaxEndpoints = 4096;

void dropOldest(FramingHabits &habits)
{
    const auto oldest = std::min_element(
        habits.byEndpoint.begin(), habits.byEndpoint.end(),
        [](const auto &a, const auto &b) { return a.second.lastAt < b.second.lastAt; });
    habits.byEndpoint.erase(oldest);
}

FramingCounts countsOfService(const FramingHabits &habits)
{
    FramingCounts sum;
    for (const auto &[id, each] : habits.byEndpoint) {
        sum.framed += each.streams.framed;
        sum.unframed += each.streams.unframed;
    }
    return sum;
}

} // namespace

void noteFraming(FramingHabits &habits, const Common::EndpointId &endpoint,
                 std::uint64_t incarnation, bool isFramed, Common::Time now)
{
    if (!habits.byEndpoint.contains(endpoint) && habits.byEndpoint.size() >= kMaxEndpoints)
        dropOldest(habits);
    EndpointFraming &known = habits.byEndpoint[endpoint];
    if (known.incarnation != incarnation)
        known = {incarnation, {}, now};
    known.lastAt = now;
    ++(isFramed ? known.streams.framed : known.streams.unframed);
}

bool endsByClosing(const FramingHabits &habits, const Common::EndpointId &endpoint,
                   std::uint64_t incarnation)
{
    const auto found = habits.byEndpoint.find(endpoint);
    if (found == habits.byEndpoint.end() || found->second.incarnation != incarnation)
        return false;
    const FramingCounts &own = found->second.streams;
    if (own.framed > 0)
        return false;
    if (own.unframed >= kMinStreamsOfProcess)
        return true;
    const FramingCounts all = countsOfService(habits);
    return all.framed == 0 && all.unframed >= kMinStreamsOfService;
}

} // namespace Tanagerbay::Serving
