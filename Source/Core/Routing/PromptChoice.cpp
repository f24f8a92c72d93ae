#include "Routing/PromptChoice.h"

#include "Common/Hash.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <span>

namespace Tanagerbay::Routing {

namespace {

// Beliefs that a part is cached at its homes, in hash order, without an own send there. With
// several homes, a part whose first one is slow for a while is not read everywhere.
constexpr std::array<double, 3> kHomeBeliefs = {0.8, 0.8, 0.8};
// Endpoints that are drawn beside the homes: one in the domain of the inputs, and of all.
constexpr std::size_t kDrawnInDomain = 1;
constexpr std::size_t kDrawn = 2;
// Weights are powers of this number, so that instances whose estimates differ a little agree on
// nearly all homes.
constexpr double kWeightStep = 1.189207115002721;

// Endpoints of the lowest rank that there is.
std::vector<std::size_t> lowestRank(const Pool &pool, const AffinityRequest &request,
                                    Common::Time now)
{
    const double maxCalls = maxCallsInFlight(pool, request.version, now);
    std::vector<std::size_t> indexes;
    int lowest = std::numeric_limits<int>::max();
    for (std::size_t i = 0; i < pool.endpoints.size(); ++i) {
        const Endpoint &endpoint = pool.endpoints[i];
        if (!isPermitted(endpoint, request, now))
            continue;
        const int rank = faultRank(endpoint, maxCalls, now);
        if (rank < lowest)
            indexes.clear();
        lowest = std::min(rank, lowest);
        if (rank == lowest)
            indexes.push_back(i);
    }
    return indexes;
}

double weightOf(const Endpoint &endpoint)
{
    const double steps = std::log(endpoint.lastingPace.relative) / std::log(kWeightStep);
    return std::pow(kWeightStep, -std::round(steps));
}

// Weighted rendezvous hashing; the lowest value wins with a probability in proportion to the
// weight.
double rendezvousValue(const Endpoint &endpoint, std::uint64_t seed)
{
    const double uniform = (static_cast<double>(Common::hash64(endpoint.id.value, seed)) + 1)
        / (static_cast<double>(std::numeric_limits<std::uint64_t>::max()) + 2);
    return -std::log(std::min(uniform, std::nextafter(1.0, 0.0))) / weightOf(endpoint);
}

// Adds the so many first endpoints in hash order that are not there yet, with the beliefs that they
// have as homes.
void addFirst(std::vector<PromptCandidate> &candidates, std::size_t count,
              std::span<const double> homeBeliefs, const Pool &pool,
              const std::vector<std::size_t> &indexes, std::uint64_t seed)
{
    std::vector<std::pair<double, std::size_t>> order;
    for (const std::size_t index : indexes) {
        const bool isThere = std::any_of(candidates.begin(), candidates.end(),
                                         [index](const auto &each) { return each.index == index; });
        if (!isThere)
            order.emplace_back(rendezvousValue(pool.endpoints[index], seed), index);
    }
    const auto last = order.begin() + static_cast<std::ptrdiff_t>(std::min(count, order.size()));
    std::partial_sort(order.begin(), last, order.end());
    for (std::size_t i = 0; i < static_cast<std::size_t>(last - order.begin()); ++i)
        candidates.push_back({order[i].second, i < homeBeliefs.size() ? homeBeliefs[i] : 0});
}

} // namespace

std::vector<PromptCandidate> promptCandidates(const Pool &pool, const AffinityRequest &request,
                                              const PromptWork &work, std::string_view draw,
                                              Common::Time now)
{
    const std::vector<std::size_t> all = lowestRank(pool, request, now);
    std::vector<PromptCandidate> candidates;
    if (!request.key.empty())
        addFirst(candidates, kHomeBeliefs.size(), kHomeBeliefs, pool, all,
                 Common::hash64(request.key));
    const std::uint64_t drawSeed = Common::hash64(draw, 1);
    std::vector<std::size_t> inDomain;
    std::copy_if(all.begin(), all.end(), std::back_inserter(inDomain), [&](std::size_t index) {
        return pool.endpoints[index].failureDomain == work.inputDomain;
    });
    addFirst(candidates, kDrawnInDomain, {}, pool, inDomain, drawSeed);
    // Without homes, as many endpoints are compared.
    const std::size_t homes = request.key.empty() ? kHomeBeliefs.size() : 0;
    addFirst(candidates, kDrawn + homes, {}, pool, all, drawSeed);
    return candidates;
}

std::optional<PromptChoice> chooseForPrompt(const Pool &pool, const AffinityRequest &request,
                                            const PromptWork &work, std::string_view draw,
                                            Common::Time now)
{
    if (!pool.reportsContention) {
        const auto index = chooseByAffinity(pool, request, now);
        return index ? std::optional(PromptChoice{*index, PromptChoiceReason::ByHash, 0})
                     : std::nullopt;
    }
    const auto candidates = promptCandidates(pool, request, work, draw, now);
    std::optional<PromptChoice> best;
    Common::Duration bestTime{0};
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto &[index, homeBelief] = candidates[i];
        const Common::Duration time
            = expectedFirstEvent(pool, pool.endpoints[index], work, now, homeBelief);
        if (best && time >= bestTime)
            continue;
        PromptChoiceReason reason = PromptChoiceReason::SoonerElsewhere;
        if (candidates.size() == 1)
            reason = PromptChoiceReason::OnlyOne;
        else if (homeBelief > 0)
            reason = i == 0 ? PromptChoiceReason::Home : PromptChoiceReason::OtherHome;
        best = PromptChoice{index, reason, homeBelief};
        bestTime = time;
    }
    return best;
}

} // namespace Tanagerbay::Routing
