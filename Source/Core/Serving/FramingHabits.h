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
#include <string>
#include <unordered_map>

namespace Tanagerbay::Serving {

struct FramingCounts
{
    std::uint64_t framed = 0;
    std::uint64_t unframed = 0;
};

// A process of an endpoint.
struct FramingProcess
{
    Common::EndpointId endpoint;
    // Start of the process; rises with each. 0 if it is not known, so that nothing is learned of
    // it.
    std::uint64_t incarnation = 0;
    // Version of its software.
    std::string version;
};

// Streams that the last known process of an endpoint has begun.
struct EndpointFraming
{
    std::uint64_t incarnation = 0;
    std::string version;
    FramingCounts streams;
    Common::Time lastAt;
};

// Of one service, by endpoint; bounded.
struct FramingHabits
{
    std::unordered_map<Common::EndpointId, EndpointFraming> byEndpoint;
};

// Notes the head of a stream's answer. One by an earlier process than the last known one is left
// out: the list of endpoints may be late.
void noteFraming(FramingHabits &habits, const FramingProcess &process, bool isFramed,
                 Common::Time now);

// Whether the process ends its streams by closing their connections, as far as they tell. A process
// of which little is known is taken for what all others of its version are.
bool endsByClosing(const FramingHabits &habits, const FramingProcess &process);

} // namespace Tanagerbay::Serving
