// The endpoints of one pool and the choice among them.
#pragma once

#include "Common/LatencySketch.h"
#include "Routing/Endpoint.h"
#include "Routing/PrefixIndex.h"
#include "Routing/RetryBudget.h"

#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

namespace Tanagerbay::Routing {

// How an endpoint is chosen. All but the first are baselines for measurements.
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
    // Start of the endpoint's process: one that started again under its name is a new one. Zero
    // where it is not known.
    std::uint64_t incarnation = 0;
    // Calls that the endpoint works on at once, where the list says so.
    std::uint32_t slots = 1;
};

struct Pool
{
    explicit Pool(std::size_t mostPrefixEntries);

    ChoicePolicy policy = ChoicePolicy::Sampled;
    std::vector<Endpoint> endpoints;
    std::unordered_map<Common::EndpointId, std::size_t> indexById;
    std::unordered_map<Common::FailureDomain, std::vector<std::size_t>> indexesByDomain;
    RetryBudget budget;
    // Durations of whole calls, and for engines of the time to the first token.
    Common::LatencySketch durations;
    Common::LatencySketch firstTokens;
    PrefixIndex prefixes;
    std::size_t roundRobin = 0;
    // Mean pace in seconds, to which endpoints are compared.
    double usualPaceSeconds = 0;
};

struct ChoiceRequest
{
    Common::FailureDomain failureDomain;
    // Endpoints that this request has tried already; avoided where there is another.
    std::vector<Common::EndpointId> tried;
    // Null where the stage has no prompt.
    const PrefixBlocks *prefix = nullptr;
};

// Adds new endpoints, updates known ones and removes those that the list no longer names. Calls in
// flight to a removed endpoint end on their own.
void applyEntries(Pool &pool, const std::vector<EndpointEntry> &entries);

// Chooses an endpoint. Returns nothing where the pool has no endpoint that may take new work.
std::optional<std::size_t> choose(Pool &pool, const ChoiceRequest &request, Common::Time now,
                                  std::mt19937_64 &random);

// Counts a call towards an endpoint from its choice on.
void beginCall(Pool &pool, std::size_t index);

enum class CallEnd {
    Succeeded,
    Failed,
    Unreachable,
    Cancelled,
    // Given up because the endpoint was too slow; its pace counts, its duration does not.
    TooSlow,
};

struct CallReport
{
    Common::EndpointId endpoint;
    CallEnd end = CallEnd::Succeeded;
    Common::Duration duration{0};
    // What endpoints are compared by: the duration of a call, or an engine's time between tokens.
    // Zero where it was not measured.
    Common::Duration pace{0};
    // Time the endpoint says it worked.
    Common::Duration busy{0};
    std::optional<LoadReport> load;
};

// Takes the end of a call. Unknown endpoints are ignored: they left in the meantime.
void endCall(Pool &pool, const CallReport &report, Common::Time now);

// Sums over the endpoints that may take new work.
struct Capacity
{
    std::uint32_t slots = 0;
    // Estimated calls of other instances.
    double others = 0;
    std::uint32_t own = 0;
};
Capacity capacityOf(const Pool &pool, Common::Time now);

} // namespace Tanagerbay::Routing
