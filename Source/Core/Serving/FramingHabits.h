// How the processes of a service mark the ends of their streams: with a length or chunks, or by
// closing the connection.
//
// A close says the same behind the last event as amid the stream. It is out of the ordinary for a
// process that frames its other streams, and all that one has which never does.
#pragma once

#include "Common/Ids.h"
#include "Common/Time.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace Tanagerbay::Serving {

struct FramingCounts
{
    std::uint64_t framed = 0;
    std::uint64_t unframed = 0;
};

// Streams that an endpoint has begun since the start of its process.
struct EndpointFraming
{
    // As in the list of endpoints; 0 if not known.
    std::uint64_t incarnation = 0;
    FramingCounts streams;
    Common::Time lastAt;
};

// Of one service, by endpoint; bounded.
struct FramingHabits
{
    std::unordered_map<Common::EndpointId, EndpointFraming> byEndpoint;
};

// Notes the head of a stream's answer.
void noteFraming(FramingHabits &habits, const Common::EndpointId &endpoint,
                 std::uint64_t incarnation, bool isFramed, Common::Time now);

// Whether the process ends its streams by closing their connections, as far as they tell. A process
// of which little is known is taken for what all others of its service are.
bool endsByClosing(const FramingHabits &habits, const Common::EndpointId &endpoint,
                   std::uint64_t incarnation);

} // namespace Tanagerbay::Serving
