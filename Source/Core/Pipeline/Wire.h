// Header fields, events and targets of the calls between an entry instance and stage endpoints.
#pragma once

#include <string>
#include <string_view>

namespace Tanagerbay::Pipeline::Wire {

// Identifies the attempt. Sent with each call and returned with its reply.
inline constexpr std::string_view kAttemptTag = "Attempt-Tag";
// Time left until the deadline of the call, in milliseconds.
inline constexpr std::string_view kTimeLeftMs = "Time-Left-Ms";
// `interactive` or `patient`.
inline constexpr std::string_view kPriority = "Priority";
// JSON object with the fields running, waiting, slots and leaving.
inline constexpr std::string_view kLoadReport = "Load-Report";
// Processing time of the call at the endpoint, in microseconds.
inline constexpr std::string_view kBusyMicros = "Busy-Micros";
// Version of the endpoint's software; absent if the endpoint does not state it.
inline constexpr std::string_view kSoftwareVersion = "Software-Version";
inline constexpr std::string_view kIdempotencyKey = "Idempotency-Key";
// Identifies a stream to the caller: the engine, the engine's name for the stream and the engine's
// software version. To resume, a caller that lost its connection sends it back together with
// `Last-Event-ID`.
inline constexpr std::string_view kStreamId = "Stream-Id";
// Type of the event that tells a caller that its stream continues under another stream id.
inline constexpr std::string_view kMovedEvent = "moved";
// Type of the terminal event of a token stream.
inline constexpr std::string_view kDoneEvent = "done";
// Type of the event that reports a failure in the middle of a stream.
inline constexpr std::string_view kErrorEvent = "error";

// Engines cache prompts in blocks of this many bytes.
inline constexpr std::size_t kPrefixBlockBytes = 64;

// Engines retain a stream whose reader has disconnected, under the first three parts of its attempt
// tag.
inline std::string streamTarget(std::string_view streamName)
{
    return "/v1/streams/" + std::string(streamName);
}

inline std::string stageTarget(std::string_view kind)
{
    return "/v1/stages/" + std::string(kind);
}

} // namespace Tanagerbay::Pipeline::Wire
