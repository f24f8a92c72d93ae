#include "Routing/HomeChoice.h"

#include "Common/Hash.h"

#include <algorithm>

namespace Tanagerbay::Routing {

namespace {

// An endpoint may have this many times the mean of this instance's calls, and a few more.
constexpr double kMostOfMean = 1.5;
constexpr double kCallsBesides = 3;
// Endpoints slower than this are passed over while there are others.
constexpr double kMostSlowness = 2;
// Share of failed calls above which an endpoint is passed over while there are others.
constexpr double kMostErrors = 0.35;

bool wasTried(const HomeRequest &request, const Common::EndpointId &id)
{
    return std::find(request.tried.begin(), request.tried.end(), id) != request.tried.end();
}

// The lower, the better.
int faultRank(const Endpoint &endpoint, double mostCalls, Common::Time now)
{
    if (!isEligible(endpoint, now))
        return 3;
    if (slownessNow(endpoint.health, now) > kMostSlowness
        || endpoint.health.errorRate > kMostErrors)
        return 2;
    return endpoint.ownInFlight > mostCalls ? 1 : 0;
}

} // namespace

std::optional<std::size_t> chooseHome(const Pool &pool, const HomeRequest &request,
                                      Common::Time now)
{
    double calls = 0;
    double live = 0;
    for (const Endpoint &endpoint : pool.endpoints) {
        if (!isEligible(endpoint, now))
            continue;
        calls += endpoint.ownInFlight;
        ++live;
    }
    const double mostCalls = kMostOfMean * calls / std::max(live, 1.0) + kCallsBesides;
    const std::uint64_t seed = Common::hash64(request.key);
    std::optional<std::size_t> best;
    int bestRank = 0;
    std::uint64_t bestScore = 0;
    for (std::size_t i = 0; i < pool.endpoints.size(); ++i) {
        const Endpoint &endpoint = pool.endpoints[i];
        const bool leaving = endpoint.state != EndpointState::Live || endpoint.report.leaving;
        if (leaving || wasTried(request, endpoint.id))
            continue;
        const int rank = faultRank(endpoint, mostCalls, now);
        // Without a part to look for, the least busy endpoint is the home.
        const std::uint64_t score = request.key.empty()
            ? ~static_cast<std::uint64_t>(endpoint.ownInFlight)
            : Common::hash64(endpoint.id.value, seed);
        if (!best || rank < bestRank || (rank == bestRank && score > bestScore)) {
            best = i;
            bestRank = rank;
            bestScore = score;
        }
    }
    return best;
}

} // namespace Tanagerbay::Routing
