// Which endpoint process began a stream, by the caller's attempt that brought the stream's first
// event.
//
// Entries are made of streams that have begun only. An attempt that a caller names but that brought
// nothing takes no place here.
#pragma once

#include "Common/Ids.h"
#include "Common/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

namespace Tanagerbay::Serving {

struct StreamOrigin
{
    std::string service;
    // Version of the software that the process runs. If that is not known: the version that the
    // list named when the request was sent, or empty.
    std::string version;
    Common::EndpointId endpoint;
    // Start time of the process; zero if not known.
    std::uint64_t incarnation = 0;
    // When the request was sent to the process.
    Common::Time sentAt;
    // Until when callers may take the stream up again.
    Common::Time expiresAt;
    // Whether the process stated `incarnation` on the connection that brought the stream. Otherwise
    // it is what the list named when the request was sent, which may have been outdated.
    bool isStated = false;
    // Not set if the list has not named the process yet, or if another process than the listed one
    // may have begun the stream. The stream goes on nowhere until it is set.
    bool isVersionKnown = true;
    // Several processes that may run different versions have begun the stream under this name, and
    // nobody knows whose events the caller has. The version stays unknown.
    bool isContradicted = false;
    // Nobody knew where the stream began when it was taken up. `endpoint` is the one that went on
    // with it, and only what is told of the stream's end counts.
    bool isPresumed = false;
    // Number of the event after which an answer without framing ended in order, if nobody has
    // confirmed that the stream ends there.
    std::optional<std::uint64_t> doubtedEnd = {};
    // The endpoint that wrote this answer.
    Common::EndpointId doubtedEndpoint = {};
    // Number of the last event that any answer has begun, as far as it was told.
    std::uint64_t lastBegunEvent = 0;
    // When the connection had been established that brought the stream. It belongs to one process.
    Common::Time connectedBy = {};
};

// An endpoint's process that was replaced by one with another version. What was sent to it at
// `since` or later may have reached the new one.
struct ReplacedProcess
{
    Common::Time since;
    Common::Time rememberedUntil;
};

struct StreamOrigins
{
    std::unordered_map<std::string, StreamOrigin> byAttempt;
    // By endpoint and start time of the replaced process.
    std::map<std::pair<Common::EndpointId, std::uint64_t>, ReplacedProcess> replaced;
    std::set<std::pair<Common::Time, std::string>> byExpiry;
};

// Number of entries above which those that expire first are dropped.
constexpr std::size_t kMaxStreamOrigins = 20'000;
// Time after a caller's deadline during which its streams are remembered.
constexpr Common::Milliseconds kStreamOriginMargin{5000};
// A caller may name any deadline.
constexpr Common::Milliseconds kMaxStreamOriginLifetime{300'000};

// Returns until when a stream may be taken up again whose caller waits until `deadline`.
Common::Time originExpiry(Common::Time deadline, Common::Time now);

// Returns what is known of a stream that has been taken up at this origin, although nobody knew
// where it began.
StreamOrigin presumedOrigin(const StreamOrigin &origin);

// Returns whether the stream may have begun at the successor of the process that the origin names.
bool isUncertain(const StreamOrigins &origins, const StreamOrigin &origin);

// Adds the origin of a stream, unless it is uncertain. The first event has one origin only, so that
// of a known entry only the expiry is extended and what is known of the end is noted. Where a
// second process has begun the stream and may run another version, the version is unknown from then
// on.
void addOrigin(StreamOrigins &origins, const std::string &attempt, const StreamOrigin &origin,
               Common::Time now);

// Returns the origin, or nullptr. `neededUntil` extends the expiry of a stream that goes on.
const StreamOrigin *findOrigin(StreamOrigins &origins, const std::string &attempt,
                               Common::Time neededUntil, Common::Time now);

// Returns what is known of a stream at the end of a search that has found `found`: what was told
// meanwhile is added. Returns nothing if another process may have begun the stream, as was learned
// meanwhile.
std::optional<StreamOrigin> latestOrigin(StreamOrigins &origins, const std::string &attempt,
                                         const std::optional<StreamOrigin> &found,
                                         Common::Time neededUntil, Common::Time now);

// Forgets the streams that were sent to an endpoint's process at `since` or later, after the
// endpoint turned out to have been restarted with another version: some of them may have begun at
// the new process. Another instance may learn of the restart later, and still report such streams.
void forgetOrigins(StreamOrigins &origins, const Common::EndpointId &endpoint,
                   std::uint64_t incarnation, Common::Time since, Common::Time now);

} // namespace Tanagerbay::Serving
