#include "Routing/AffinityChoice.h"

#include "Common/Hash.h"

#include <algorithm>

namespace Tanagerbay::Routing {

namespace {

// Limit on this instance's calls in flight at one endpoint: the mean over the eligible endpoints
// times the factor, plus the allowance.
constexpr double kMaxLoadFactor = 1.5;
constexpr double kLoadAllowance = 3;
// Endpoints slower than this are chosen only where there is no other.
constexpr double kMaxSlowness = 2;
// Share of failed calls above which an endpoint is chosen only where there is no other.
constexpr double kMaxErrorRate = 0.35;

bool wasTried(const AffinityRequest &request, const Common::EndpointId &id)
{
    return std::find(request.tried.begin(), request.tried.end(), id) != request.tried.end();
}

} // namespace

double maxCallsInFlight(const Pool &pool, const std::optional<std::string> &version,
                        Common::Time now)
{
    double calls = 0;
    double eligibleCount = 0;
    for (const Endpoint &endpoint : pool.endpoints) {
        if (!isEligible(endpoint, now) || !hasVersion(endpoint, version))
            continue;
        calls += endpoint.ownInFlight;
        ++eligibleCount;
    }
    return kMaxLoadFactor * calls / std::max(eligibleCount, 1.0) + kLoadAllowance;
}

bool isPermitted(const Endpoint &endpoint, const AffinityRequest &request, Common::Time now)
{
    return !takesNoNewWork(endpoint) && !isHeld(endpoint, now) && !wasTried(request, endpoint.id)
        && hasVersion(endpoint, request.version);
}

int faultRank(const Endpoint &endpoint, double maxCalls, Common::Time now)
{
    if (!isEligible(endpoint, now))
        return 3;
    if (currentSlowness(endpoint.health, now) > kMaxSlowness
        || endpoint.health.errorRate > kMaxErrorRate)
        return 2;
    return endpoint.ownInFlight > maxCalls ? 1 : 0;
}

std::optional<std::size_t> chooseByAffinity(const Pool &pool, const AffinityRequest &request,
                                            Common::Time now)
{
    const double maxCalls = maxCallsInFlight(pool, request.version, now);
    const std::uint64_t seed = Common::hash64(request.key);
    std::optional<std::size_t> best;
    int bestRank = 0;
    std::uint64_t bestScore = 0;
    for (std::size_t i = 0; i < pool.endpoints.size(); ++i) {
        const Endpoint &endpoint = pool.endpoints[i];
        if (!isPermitted(endpoint, request, now))
            continue;
        const int rank = faultRank(endpoint, maxCalls, now);
        // Without a shared part, the endpoint with the fewest calls in flight is chosen.
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
