// Names and formats of the calls between an entry instance and stage endpoints.
#pragma once

#include <string>
#include <string_view>

namespace Tanagerbay::Pipeline::Wire {

// Sent with each call and echoed with its reply.
inline constexpr std::string_view kAttemptTag = "Attempt-Tag";
// Time left for the call, in milliseconds.
inline constexpr std::string_view kTimeLeftMs = "Time-Left-Ms";
// `interactive` or `patient`.
inline constexpr std::string_view kPriority = "Priority";
// JSON object with running, waiting, slots and leaving.
inline constexpr std::string_view kLoadReport = "Load-Report";
// Time the endpoint worked on the call, in microseconds.
inline constexpr std::string_view kBusyMicros = "Busy-Micros";
inline constexpr std::string_view kIdempotencyKey = "Idempotency-Key";
// Names a stream to a caller: the engine and the engine's name for the stream. A caller that was
// cut off sends it back together with `Last-Event-ID`.
inline constexpr std::string_view kStreamId = "Stream-Id";
// Type of the event that tells a caller that its stream goes on under another identity.
inline constexpr std::string_view kMovedEvent = "moved";
// Type of the terminal event of a token stream.
inline constexpr std::string_view kDoneEvent = "done";
// Type of an event that reports a failure in the middle of a stream.
inline constexpr std::string_view kErrorEvent = "error";

// Engines cache prompts in blocks of this many bytes.
inline constexpr std::size_t kPrefixBlockBytes = 64;

// Engines keep a stream whose reader left under the first three parts of its attempt's tag.
inline std::string streamTarget(std::string_view streamName)
{
    return "/v1/streams/" + std::string(streamName);
}

inline std::string stageTarget(std::string_view kind)
{
    return "/v1/stages/" + std::string(kind);
}

} // namespace Tanagerbay::Pipeline::Wire
