// Messages by which instances tell and ask each other which endpoint process began a stream.
#pragma once

#include "Common/EnumNames.h"
#include "Routing/VersionHistory.h"
#include "Serving/StreamOrigins.h"

#include <boost/json.hpp>

namespace Tanagerbay::Entry {

enum class StreamMessageKind {
    // A stream has begun.
    Began,
    // Asks where a stream began.
    Find,
    Found,
    Unknown,
};

} // namespace Tanagerbay::Entry

template <>
struct Tanagerbay::Common::EnumNames<Tanagerbay::Entry::StreamMessageKind>
{
    using Kind = Entry::StreamMessageKind;
    static constexpr NameTable<Kind, 4> table = {{
        {Kind::Began, "began"},
        {Kind::Find, "find"},
        {Kind::Found, "found"},
        {Kind::Unknown, "unknown"},
    }};
};

namespace Tanagerbay::Entry {

struct StreamMessage
{
    StreamMessageKind kind = StreamMessageKind::Unknown;
    // Number of the question; zero for `Began`.
    std::uint64_t number = 0;
    std::string attempt;
    // Set for `Began` and `Found`. For `Find`, only `expiresAt` is: until when the stream that goes
    // on may be taken up again.
    Serving::StreamOrigin origin;
};

// Name of the member of a datagram that holds such a message.
constexpr const char *kStreamMember = "stream";

boost::json::array toJson(const StreamMessage &message, Common::Time now);

// Returns nothing if the message cannot be read.
std::optional<StreamMessage> readStreamMessage(const boost::json::value &value, Common::Time now);

boost::json::object toJson(const Routing::VersionHistory &history, Common::Time now);

// Entries that cannot be read are left out.
Routing::VersionHistory readVersionHistory(const boost::json::value &value, Common::Time now);

} // namespace Tanagerbay::Entry
