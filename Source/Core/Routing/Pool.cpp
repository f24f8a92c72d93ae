#include "Routing/Pool.h"

#include "Routing/ExpectedTime.h"

#include <algorithm>
#include <limits>

namespace Tanagerbay::Routing {

namespace {

// Number of endpoints compared for one choice: the first ones are drawn from the request's failure
// domain, the others from the whole pool.
constexpr std::size_t kOwnDomainSample = 2;
constexpr std::size_t kSampleSize = 4;
// Maximum number of draws for each endpoint of the sample, since a draw may hit an endpoint that is
// not a candidate.
constexpr std::size_t kDrawsPerSample = 4;
// Added to the score of an endpoint in another failure domain, in units of one idle call.
constexpr double kOtherDomainPenalty = 0.1;
// Reduction of the score for a fully cached prompt, in the same units.
constexpr double kMaxPrefixBonus = 0.6;
// Weight of the error rate in the score.
constexpr double kErrorPenalty = 10;
// An endpoint slower than this gets one call at a time, as a probe for its recovery.
constexpr double kProbeSlowness = 3;
constexpr double kPaceGain = 0.02;
constexpr double kWaitingGain = 0.02;

bool contains(const std::vector<Common::EndpointId> &ids, const Common::EndpointId &id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

bool isCandidate(const Endpoint &endpoint, const ChoiceRequest &request, Common::Time now)
{
    if (!isEligible(endpoint, now) || contains(request.tried, endpoint.id)
        || !hasVersion(endpoint, request.version))
        return false;
    const bool needsProbe = currentSlowness(endpoint.health, now) > kProbeSlowness;
    return !needsProbe || endpoint.ownInFlight == 0;
}

double score(const Endpoint &endpoint, const ChoiceRequest &request, Common::Time now)
{
    const double occupancy = estimatedOutstanding(endpoint) / endpoint.report.slots;
    double value = currentSlowness(endpoint.health, now) * (1 + occupancy);
    value *= currentContention(endpoint, now);
    value *= 1 + kErrorPenalty * endpoint.health.errorRate;
    if (endpoint.failureDomain != request.failureDomain)
        value += kOtherDomainPenalty;
    return value;
}

// Returns the endpoint whose ejection ends first among those that take new work, are not held and
// have not been tried. Used where there is no candidate: the fault may have ended by now.
std::optional<std::size_t> chooseFallback(const Pool &pool, const ChoiceRequest &request,
                                          Common::Time now)
{
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < pool.endpoints.size(); ++i) {
        const Endpoint &endpoint = pool.endpoints[i];
        if (takesNoNewWork(endpoint) || isHeld(endpoint, now)
            || contains(request.tried, endpoint.id) || !hasVersion(endpoint, request.version))
            continue;
        if (!best || endpoint.health.ejectedUntil < pool.endpoints[*best].health.ejectedUntil)
            best = i;
    }
    return best;
}

std::optional<std::size_t> firstCandidateFrom(const Pool &pool, const ChoiceRequest &request,
                                              Common::Time now, std::size_t start)
{
    for (std::size_t step = 0; step < pool.endpoints.size(); ++step) {
        const std::size_t index = (start + step) % pool.endpoints.size();
        if (isCandidate(pool.endpoints[index], request, now))
            return index;
    }
    return std::nullopt;
}

std::optional<std::size_t> chooseSampled(const Pool &pool, const ChoiceRequest &request,
                                         Common::Time now, std::mt19937_64 &random)
{
    std::optional<std::size_t> best;
    double bestScore = 0;
    const auto consider = [&](std::size_t index, double bonus) {
        const Endpoint &endpoint = pool.endpoints[index];
        if (!isCandidate(endpoint, request, now))
            return false;
        const double value = score(endpoint, request, now) - bonus;
        if (!best || value < bestScore) {
            best = index;
            bestScore = value;
        }
        return true;
    };
    std::size_t sampled = 0;
    const auto own = pool.indexesByDomain.find(request.failureDomain);
    if (own != pool.indexesByDomain.end()) {
        const std::vector<std::size_t> &indexes = own->second;
        for (std::size_t draw = 0; draw < kOwnDomainSample * kDrawsPerSample; ++draw) {
            if (sampled >= kOwnDomainSample)
                break;
            sampled += consider(indexes[random() % indexes.size()], 0) ? 1 : 0;
        }
    }
    for (std::size_t draw = 0; draw < kSampleSize * kDrawsPerSample; ++draw) {
        if (sampled >= kSampleSize)
            break;
        const std::size_t index = random() % pool.endpoints.size();
        // The request's failure domain has been sampled above, unless it is the only one.
        const bool isOtherDomain = pool.endpoints[index].failureDomain != request.failureDomain;
        if (isOtherDomain || pool.indexesByDomain.size() == 1)
            sampled += consider(index, 0) ? 1 : 0;
    }
    if (request.prefix && !request.prefix->empty()) {
        const auto match = pool.prefixes.longestMatch(*request.prefix);
        const auto found = match ? pool.indexById.find(match->endpoint) : pool.indexById.end();
        if (found != pool.indexById.end()) {
            const double share
                = static_cast<double>(match->blocks) / static_cast<double>(request.prefix->size());
            consider(found->second, kMaxPrefixBonus * share);
        }
    }
    if (best)
        return best;
    return firstCandidateFrom(pool, request, now, random() % pool.endpoints.size());
}

std::optional<std::size_t> chooseLeastInFlight(const Pool &pool, const ChoiceRequest &request,
                                               Common::Time now, std::mt19937_64 &random)
{
    std::optional<std::size_t> best;
    const std::size_t start = random() % pool.endpoints.size();
    for (std::size_t step = 0; step < pool.endpoints.size(); ++step) {
        const std::size_t index = (start + step) % pool.endpoints.size();
        const Endpoint &endpoint = pool.endpoints[index];
        if (!isCandidate(endpoint, request, now))
            continue;
        if (!best || endpoint.ownInFlight < pool.endpoints[*best].ownInFlight)
            best = index;
    }
    return best;
}

std::optional<std::size_t> chooseByPolicy(Pool &pool, const ChoiceRequest &request,
                                          Common::Time now, std::mt19937_64 &random)
{
    switch (pool.policy) {
    case ChoicePolicy::Sampled:
        return chooseSampled(pool, request, now, random);
    case ChoicePolicy::Random:
        return firstCandidateFrom(pool, request, now, random() % pool.endpoints.size());
    case ChoicePolicy::RoundRobin:
        return firstCandidateFrom(pool, request, now, pool.roundRobin++);
    case ChoicePolicy::LeastInFlight:
        return chooseLeastInFlight(pool, request, now, random);
    }
    return std::nullopt;
}

Endpoint *find(Pool &pool, const Common::EndpointId &id)
{
    const auto found = pool.indexById.find(id);
    return found == pool.indexById.end() ? nullptr : &pool.endpoints[found->second];
}

void notePace(Pool &pool, Endpoint &endpoint, Common::Duration pace, Common::Time now)
{
    const double seconds = Common::toSeconds(pace);
    if (seconds <= 0)
        return;
    if (pool.meanPaceSeconds <= 0)
        pool.meanPaceSeconds = seconds;
    noteSuccess(endpoint, seconds / pool.meanPaceSeconds, now);
    // The sample is bounded, so that a single slow endpoint does not shift the mean.
    const double bounded = std::min(seconds, 3 * pool.meanPaceSeconds);
    pool.meanPaceSeconds += kPaceGain * (bounded - pool.meanPaceSeconds);
}

} // namespace

Pool::Pool(std::size_t maxPrefixEntries) : prefixes(maxPrefixEntries)
{
}

void applyEntries(Pool &pool, const std::vector<EndpointEntry> &entries)
{
    std::vector<Endpoint> next;
    std::unordered_map<Common::EndpointId, std::size_t> indexById;
    for (const EndpointEntry &entry : entries) {
        if (!indexById.emplace(entry.id, next.size()).second)
            continue;
        const Endpoint *known = find(pool, entry.id);
        Endpoint endpoint = known ? *known : Endpoint{};
        // An endpoint with a new address or a restarted process starts without history.
        const bool isSameProcess = known && known->address == entry.address
            && known->incarnation == entry.incarnation
            && (entry.incarnation != 0 || known->version == entry.version);
        if (!isSameProcess) {
            endpoint = Endpoint{};
            endpoint.report.slots = entry.slots;
        }
        endpoint.incarnation = entry.incarnation;
        endpoint.version = entry.version;
        endpoint.id = entry.id;
        endpoint.address = entry.address;
        endpoint.failureDomain = entry.failureDomain;
        endpoint.state = entry.state;
        endpoint.isEvacuated = entry.isEvacuated;
        next.push_back(std::move(endpoint));
    }
    pool.indexesByDomain.clear();
    for (std::size_t i = 0; i < next.size(); ++i)
        pool.indexesByDomain[next[i].failureDomain].push_back(i);
    pool.endpoints = std::move(next);
    pool.indexById = std::move(indexById);
}

std::optional<std::size_t> choose(Pool &pool, const ChoiceRequest &request, Common::Time now,
                                  std::mt19937_64 &random)
{
    if (pool.endpoints.empty())
        return std::nullopt;
    const auto chosen = chooseByPolicy(pool, request, now, random);
    return chosen ? chosen : chooseFallback(pool, request, now);
}

void beginCall(Pool &pool, std::size_t index)
{
    Endpoint &endpoint = pool.endpoints[index];
    ++endpoint.ownInFlight;
    ++endpoint.callsBegun;
}

void endCall(Pool &pool, const CallReport &report, Common::Time now)
{
    Endpoint *endpoint = find(pool, report.endpoint);
    if (!endpoint)
        return;
    if (endpoint->ownInFlight > 0)
        --endpoint->ownInFlight;
    endpoint->busy += report.busy;
    if (report.load)
        noteReport(*endpoint, *report.load, now);
    if (report.end == CallEnd::Cancelled)
        return;
    if (report.end == CallEnd::Failed || report.end == CallEnd::Unreachable) {
        noteFailure(*endpoint, report.end == CallEnd::Unreachable, now);
        return;
    }
    notePace(pool, *endpoint, report.pace, now);
    if (report.end == CallEnd::Succeeded)
        pool.durations.add(report.duration);
}

void noteReport(Pool &pool, const Common::EndpointId &id, const LoadReport &report,
                Common::Time madeAt)
{
    Endpoint *endpoint = find(pool, id);
    if (!endpoint)
        return;
    endpoint->usualWaiting += kWaitingGain * (report.waiting - endpoint->usualWaiting);
    noteReport(*endpoint, report, madeAt);
    pool.reportsContention = pool.reportsContention || report.contention;
}

void holdBack(Pool &pool, const Common::EndpointId &id, Common::Duration period, Common::Time now)
{
    if (Endpoint *endpoint = find(pool, id))
        holdBack(*endpoint, period, now);
}

std::optional<Common::Time> allHeldUntil(const Pool &pool, Common::Time now,
                                         const std::optional<std::string> &version)
{
    std::optional<Common::Time> first;
    for (const Endpoint &endpoint : pool.endpoints) {
        if (takesNoNewWork(endpoint) || !hasVersion(endpoint, version))
            continue;
        if (!isHeld(endpoint, now))
            return std::nullopt;
        const Common::Time from = sendableFrom(endpoint);
        if (!first || from < *first)
            first = from;
    }
    return first;
}

std::optional<NextSend> nextSend(const Pool &pool, const ChoiceRequest &request, Common::Time now)
{
    std::optional<NextSend> next;
    double perSecond = 0;
    for (std::size_t i = 0; i < pool.endpoints.size(); ++i) {
        const Endpoint &endpoint = pool.endpoints[i];
        const Common::Time from = sendableFrom(endpoint);
        if (takesNoNewWork(endpoint) || contains(request.tried, endpoint.id)
            || !hasVersion(endpoint, request.version) || from == Common::Time::max())
            continue;
        if (isLimited(endpoint.gate))
            perSecond += 1 / Common::toSeconds(endpoint.gate.interval);
        else
            perSecond = std::numeric_limits<double>::infinity();
        const Common::Time at = std::max(now, from);
        if (!next || at < next->at)
            next = NextSend{i, at, 0};
    }
    if (next)
        next->perSecond = perSecond;
    return next;
}

std::optional<Common::Duration> meanInterval(const Pool &pool,
                                             const std::optional<std::string> &version)
{
    double perSecond = 0;
    for (const Endpoint &endpoint : pool.endpoints) {
        if (takesNoNewWork(endpoint) || !hasVersion(endpoint, version))
            continue;
        const auto taken = takenPerSecond(endpoint);
        if (!taken)
            return std::nullopt;
        perSecond += *taken;
    }
    if (perSecond <= 0)
        return std::nullopt;
    return std::chrono::duration_cast<Common::Duration>(
        std::chrono::duration<double>(1 / perSecond));
}

Capacity capacityOf(const Pool &pool, Common::Time now)
{
    Capacity capacity;
    for (const Endpoint &endpoint : pool.endpoints) {
        capacity.own += endpoint.ownInFlight;
        const bool isEjected = now < endpoint.health.ejectedUntil;
        if (takesNoNewWork(endpoint) || isHeld(endpoint, now) || isEjected)
            continue;
        capacity.slots += endpoint.report.slots;
        capacity.others += estimatedOutstanding(endpoint) - endpoint.ownInFlight;
    }
    return capacity;
}

} // namespace Tanagerbay::Routing
