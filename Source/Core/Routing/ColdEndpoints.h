// Which endpoints are believed cold: their process has started lately, or has turned cold again,
// and takes only few requests a second until it is warm.
//
// What is believed comes from the endpoint's entry in the list, from its answers, and from what an
// instance has seen itself. Entries and answers state how long the endpoint stays cold, which is
// taken from when they arrive: the belief may end late, by the time that the news took, and never
// early. Only news that are certainly later end a belief sooner.
#pragma once

#include "Common/EnumNames.h"
#include "Common/Ids.h"
#include "Common/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Tanagerbay::Routing {

// Why an endpoint is believed cold.
enum class ColdReason {
    // Its entry states it.
    Entry,
    // One of its answers states it.
    Answer,
    // Its process has started while there was traffic, and nothing states for how long it is cold.
    Started,
    // It may be used again after its failure domain was not to be used.
    Returned,
    // Another instance has told of it.
    Told,
    // Calls have failed as if its process had ended. The next one may be running unlisted.
    Failed,
};

} // namespace Tanagerbay::Routing

template <>
struct Tanagerbay::Common::EnumNames<Tanagerbay::Routing::ColdReason>
{
    using Reason = Routing::ColdReason;
    static constexpr NameTable<Reason, 6> table = {{
        {Reason::Entry, "entry"},
        {Reason::Answer, "answer"},
        {Reason::Started, "started"},
        {Reason::Returned, "returned"},
        {Reason::Told, "told"},
        {Reason::Failed, "failed"},
    }};
};

namespace Tanagerbay::Routing {

struct ColdBelief
{
    Common::Time until;
    ColdReason reason = ColdReason::Entry;
    Common::Time learnedAt;
};

// Holds those only that are believed cold.
using ColdBeliefs = std::map<Common::EndpointId, ColdBelief>;

// When beliefs were found to have ended, for a while.
using ColdEnds = std::map<Common::EndpointId, Common::Time>;

// What an entry in the list says of the endpoint's process.
enum class ProcessNews {
    // The same process was listed before.
    Known,
    // The first that this instance has read of it, when it read the list for the first time.
    FirstReading,
    // A process that was not listed before. It has started, or returned to the list, during
    // traffic.
    Started,
};

enum class ColdChange { None, Began, Prolonged, Shortened, Ended };

// Takes note of an entry of the list. `left` is how long the process stays cold by its own
// statement, if it makes one; `period` how long one of its service is cold after its start. Entries
// of an endpoint must come in the order in which they were written.
ColdChange noteEntry(ColdBeliefs &beliefs, const Common::EndpointId &id, ProcessNews process,
                     std::optional<Common::Duration> left, Common::Duration period,
                     Common::Time now);

// Takes note of an answer to a request that was sent at `sentAt`.
ColdChange noteAnswer(ColdBeliefs &beliefs, const Common::EndpointId &id, Common::Duration left,
                      Common::Time sentAt, Common::Time now);

// Believes the endpoint cold for the period, although nothing has stated it.
ColdChange presumeCold(ColdBeliefs &beliefs, const Common::EndpointId &id, ColdReason reason,
                       Common::Duration period, Common::Time now);

// Takes note of what another instance tells. The time left is relative, so that news come back from
// others with a later end, and old ones may be read late. A belief is therefore prolonged only by
// news that end clearly later, keeps its own reason, and is not begun again by others shortly after
// it has ended.
ColdChange noteTold(ColdBeliefs &beliefs, const ColdEnds &ends, const Common::EndpointId &id,
                    Common::Duration left, Common::Time now);

// Remembers that a belief has ended now.
void noteEnd(ColdEnds &ends, const Common::EndpointId &id, Common::Time now);

// Remembers the ends of beliefs whose time is over, and forgets old ends. An end counts from when
// it is noticed: what an instance reads after a pause may be as old as the pause. Doubts are left
// out, as the process that follows is news.
void noteEnds(ColdEnds &ends, const ColdBeliefs &beliefs, Common::Time now);

// Forgets beliefs whose time is over, and returns the endpoints.
std::vector<Common::EndpointId> takeWarm(ColdBeliefs &beliefs, Common::Time now);

bool isCold(const ColdBeliefs &beliefs, const Common::EndpointId &id, Common::Time now);

// What a cold endpoint may get in any second from all instances together, given the rate that its
// service states: `overshoot` times the rate, plus `slack`.
struct ColdBounds
{
    double overshoot = 1;
    double slack = 0;
};

// How the rate of a cold endpoint is divided.
struct ColdShare
{
    // The first instances of the endpoint's rendezvous order. The others send nothing.
    std::size_t senders = 0;
    // Minimum time between two sends of each; `kNoSends` if the bounds permit none.
    Common::Duration interval{0};
};

// Divides the rate, in requests a second, between `instances`. All senders together stay within
// half of the bounds in any second, so that two parts of the instances that know nothing of each
// other, and each choose senders of their own, stay within the bounds.
ColdShare coldShare(double perSecond, const ColdBounds &bounds, std::size_t instances);

} // namespace Tanagerbay::Routing
