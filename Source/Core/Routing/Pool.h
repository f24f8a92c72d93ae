// The endpoints of one pool and the choice among them.
#pragma once

#include "Common/LatencySketch.h"
#include "Routing/CachedParts.h"
#include "Routing/Endpoint.h"
#include "Routing/PrefixIndex.h"
#include "Routing/RetryBudget.h"

#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

namespace Tanagerbay::Routing {

// Policy by which an endpoint is chosen. All but `Sampled` are baselines for benchmarks.
enum class ChoicePolicy { Sampled, Random, RoundRobin, LeastInFlight };

} // namespace Tanagerbay::Routing

template <>
struct Tanagerbay::Common::EnumNames<Tanagerbay::Routing::ChoicePolicy>
{
    using Policy = Routing::ChoicePolicy;
    static constexpr NameTable<Policy, 4> table = {{
        {Policy::Sampled, "sampled"},
        {Policy::Random, "random"},
        {Policy::RoundRobin, "round-robin"},
        {Policy::LeastInFlight, "least-in-flight"},
    }};
};

namespace Tanagerbay::Routing {

// An endpoint as the settings or the instance list name it.
struct EndpointEntry
{
    Common::EndpointId id;
    Common::Address address;
    Common::FailureDomain failureDomain;
    EndpointState state = EndpointState::Live;
    // Start time of the endpoint's process; zero where it is not known. A process restarted under
    // the same identifier is treated as a new endpoint.
    std::uint64_t incarnation = 0;
    // Version of the software that the process runs; empty where it is not known.
    std::string version = {};
    // Number of calls that the endpoint processes concurrently, where the list states it.
    std::uint32_t slots = 1;
    // The operator has evacuated its failure domain.
    bool isEvacuated = false;
};

struct Pool
{
    explicit Pool(std::size_t maxPrefixEntries);

    ChoicePolicy policy = ChoicePolicy::Sampled;
    std::vector<Endpoint> endpoints;
    std::unordered_map<Common::EndpointId, std::size_t> indexById;
    std::unordered_map<Common::FailureDomain, std::vector<std::size_t>> indexesByDomain;
    RetryBudget budget;
    // Durations of whole calls, and the engines' times to the first token.
    Common::LatencySketch durations;
    Common::LatencySketch firstTokenTimes;
    PrefixIndex prefixes;
    std::size_t roundRobin = 0;
    // Smoothed mean pace of the pool, to which each endpoint's pace is compared.
    double meanPaceSeconds = 0;
    // An endpoint has reported contention, so that prompts are placed by expected time.
    bool reportsContention = false;
    EngineRates rates;
    CachedParts cachedParts;
};

struct ChoiceRequest
{
    Common::FailureDomain failureDomain;
    // Endpoints that this request has tried already; they are never chosen.
    std::vector<Common::EndpointId> tried;
    // Blocks of the prompt; null where the stage has no prompt.
    const PrefixBlocks *prefix = nullptr;
    // If set, only endpoints that run this software version are chosen.
    std::optional<std::string> version = std::nullopt;
};

// The endpoint that permits the next send.
struct NextSend
{
    std::size_t index = 0;
    Common::Time at;
    // Sends a second that the limits permit this instance over all endpoints; infinite if one of
    // them has no limit.
    double perSecond = 0;
};

// Adds new endpoints, updates known ones and removes those that are no longer listed. Calls in
// flight to a removed endpoint are not cancelled.
void applyEntries(Pool &pool, const std::vector<EndpointEntry> &entries);

// Chooses an endpoint and returns its index, or nothing where all are leaving, evacuated, held or
// tried.
// Where no endpoint is eligible, the one whose ejection ends first is chosen.
std::optional<std::size_t> choose(Pool &pool, const ChoiceRequest &request, Common::Time now,
                                  std::mt19937_64 &random);

// Counts a call in flight at the endpoint. It is called as soon as the endpoint is chosen.
void beginCall(Pool &pool, std::size_t index);

enum class CallEnd {
    Succeeded,
    Failed,
    Unreachable,
    Cancelled,
    // Cancelled because the endpoint was too slow: the pace is recorded, the duration is not.
    TooSlow,
};

struct CallReport
{
    Common::EndpointId endpoint;
    CallEnd end = CallEnd::Succeeded;
    Common::Duration duration{0};
    // The figure by which endpoints are compared: the duration of a call, or an engine's time
    // between tokens. Zero where it was not measured.
    Common::Duration pace{0};
    // Busy time that the endpoint reported.
    Common::Duration busy{0};
    std::optional<LoadReport> load;
};

// Records the end of a call. Endpoints that have been removed in the meantime are ignored.
void endCall(Pool &pool, const CallReport &report, Common::Time now);

// Records a load report of an endpoint that was made at `madeAt`. One that has been removed in the
// meantime is ignored.
void noteReport(Pool &pool, const Common::EndpointId &id, const LoadReport &report,
                Common::Time madeAt);

// Records that an endpoint wants nothing from this instance for the period. One that has been
// removed in the meantime is ignored.
void holdBack(Pool &pool, const Common::EndpointId &id, Common::Duration period, Common::Time now);

// Returns when the first endpoint can be sent a request again, where every endpoint of the required
// version that takes new work is held; otherwise nothing.
std::optional<Common::Time> allHeldUntil(const Pool &pool, Common::Time now,
                                         const std::optional<std::string> &version = std::nullopt);

// Returns the endpoint among those that `choose` could return which permits a send first, or
// nothing where none ever does.
std::optional<NextSend> nextSend(const Pool &pool, const ChoiceRequest &request, Common::Time now);

// Returns the mean time between two requests that the endpoints of the required version take from
// all instances together; nothing if there is none or one of them is not limited.
std::optional<Common::Duration>
meanInterval(const Pool &pool, const std::optional<std::string> &version = std::nullopt);

// Capacity and load of the pool. `slots` and `others` are summed over the endpoints that are
// neither leaving, evacuated nor ejected, `own` over all endpoints.
struct Capacity
{
    std::uint32_t slots = 0;
    // Estimated calls of other instances in flight.
    double others = 0;
    std::uint32_t own = 0;
};
Capacity capacityOf(const Pool &pool, Common::Time now);

} // namespace Tanagerbay::Routing
