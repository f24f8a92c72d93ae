#include "Entry/PathWatch.h"

#include "Entry/PeerMesh.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Tanagerbay::Entry {

namespace json = boost::json;

namespace {

constexpr Common::Milliseconds kCheckInterval{100};
// Several round trips between failure domains; a busy endpoint answers the question beside its
// work.
constexpr Common::Milliseconds kProbeTimeout{300};
// Endpoints asked in one round: one of each service of a usual deployment.
constexpr std::size_t kProbesPerRound = 5;
constexpr std::size_t kMaxAnswerBytes = 1 << 20;
// Name of the member of a datagram that tells how long ago the sender had contact with an endpoint,
// in milliseconds.
constexpr const char *kContactAge = "endpointContactMs";
// Name of the member that asks the receivers whether they reach endpoints.
constexpr const char *kAsksForContact = "asksForEndpointContact";
// An older contact is not told.
constexpr Common::Milliseconds kMaxToldAge{2000};

} // namespace

PathWatch::PathWatch(State &state, Gossip &gossip, const StageOwner &stages)
    : state(state), gossip(gossip), stages(stages)
{
}

void PathWatch::start()
{
    this->gossip.onDatagram(
        [this](json::object &message, std::uint32_t) {
            const Common::Time now = clockNow();
            const auto &contactAt = this->health.lastContactAt;
            if (contactAt && now - *contactAt < kMaxToldAge)
                message[kContactAge] = Common::toMilliseconds(now - *contactAt);
            if (this->health.hasProbesFailed)
                message[kAsksForContact] = true;
            // It accompanies each datagram, so that it leaves the room for news as it is.
            return false;
        },
        [this](const json::object &message) {
            if (message.contains(kAsksForContact))
                Routing::noteAsked(this->health);
            if (!message.contains(kContactAge))
                return;
            const auto sender = senderOf(message);
            const auto age = Common::Milliseconds(numberOf(message, kContactAge));
            if (sender && age < kMaxToldAge)
                Routing::noteOtherContact(this->health, *sender, clockNow() - age);
        });
    boost::asio::co_spawn(this->state.context, this->watch(), boost::asio::detached);
}

void PathWatch::noteAnswer(bool isNewConnection)
{
    const Common::Time now = clockNow();
    this->callsOpenSince.reset();
    if (isNewConnection)
        Routing::noteConnected(this->health, now);
    else
        Routing::noteAnswer(this->health, now);
}

void PathWatch::noteUnreachable(const Common::EndpointId &endpoint)
{
    Routing::noteUnreachable(this->health, endpoint, clockNow());
}

std::optional<Common::Time> PathWatch::waitingSince(Common::Time now)
{
    const bool isWaiting
        = this->stages.openPieces() > 0
        || std::any_of(this->state.pools.begin(), this->state.pools.end(), [](const auto &entry) {
               const std::vector<Routing::Endpoint> &endpoints = entry.second.endpoints;
               return std::any_of(endpoints.begin(), endpoints.end(),
                                  [](const auto &endpoint) { return endpoint.ownInFlight > 0; });
           });
    if (!isWaiting)
        this->callsOpenSince.reset();
    else if (!this->callsOpenSince)
        this->callsOpenSince = now;
    return this->callsOpenSince;
}

std::vector<Routing::ProbeCandidate> PathWatch::probeCandidates() const
{
    std::vector<Routing::ProbeCandidate> candidates;
    for (const auto &[service, pool] : this->state.pools) {
        for (const Routing::Endpoint &endpoint : pool.endpoints) {
            // A question counts as a request where an endpoint states a limit.
            if (!Routing::takesNoNewWork(endpoint) && !endpoint.statedLimit)
                candidates.push_back({service, endpoint.id});
        }
    }
    return candidates;
}

Http::Awaitable<bool> PathWatch::isAnswering(Common::Address address)
{
    Http::CallOptions options;
    options.deadline = clockNow() + kProbeTimeout;
    options.connectTimeout = kProbeTimeout;
    options.freshConnection = true;
    options.maxBodyBytes = kMaxAnswerBytes;
    options.maxIdleConnections = 0;
    Http::Request question = this->state.dialect.writeProcessQuestion();
    const auto answer = co_await this->state.client.call(address, std::move(question), options);
    co_return answer.has_value();
}

Http::Awaitable<void> PathWatch::probe()
{
    const Common::Time startedAt = clockNow();
    this->health.probedAt = startedAt;
    const auto probes
        = Routing::drawProbes(this->probeCandidates(), kProbesPerRound, this->state.random);
    struct Round
    {
        explicit Round(boost::asio::io_context &context) : ended(context)
        {
        }

        std::size_t succeeded = 0;
        std::vector<Common::EndpointId> failed;
        std::size_t open = 0;
        boost::asio::steady_timer ended;
    };
    // Shared with the probes, which end one after the other.
    const auto round = std::make_shared<Round>(this->state.context);
    round->open = probes.size();
    round->ended.expires_after(2 * kProbeTimeout);
    for (const Routing::ProbeCandidate &probe : probes) {
        const Routing::Pool &pool = this->state.poolOf(probe.service);
        const Common::Address address = pool.endpoints[pool.indexById.at(probe.endpoint)].address;
        boost::asio::co_spawn(
            this->state.context,
            [this, round, id = probe.endpoint, address]() -> Http::Awaitable<void> {
                if (co_await this->isAnswering(address))
                    ++round->succeeded;
                else
                    round->failed.push_back(id);
                if (--round->open == 0)
                    round->ended.cancel();
            },
            boost::asio::detached);
    }
    if (round->open > 0) {
        boost::system::error_code ignored;
        co_await round->ended.async_wait(
            boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }
    for (const Common::EndpointId &id : round->failed)
        Routing::noteUnreachable(this->health, id, startedAt);
    Routing::noteProbes(this->health, round->succeeded, round->failed.size(), clockNow());
    this->state.metrics.count(labelled("path_probe_rounds", "result",
                                       round->succeeded > 0        ? "answered"
                                           : round->failed.empty() ? "none"
                                                                   : "unanswered"));
    this->isProbing = false;
}

void PathWatch::decide()
{
    const Common::Time now = clockNow();
    if (!Routing::decide(this->health, now))
        return;
    this->state.hasLostPaths = this->health.isLost;
    LogLine line(this->health.isLost ? "paths-lost" : "paths-regained");
    if (this->health.failingSince)
        line.milliseconds("failingMs", now - *this->health.failingSince);
    if (this->health.lastContactAt)
        line.milliseconds("lastContactMs", now - *this->health.lastContactAt);
    line.number("othersInContact", static_cast<std::int64_t>(this->health.otherContacts.size()));
    this->state.logState(line);
    this->state.metrics.gauges["paths_lost"] = this->health.isLost ? 1 : 0;
    // The others choose it as owner of queues and name it to callers no longer, or again.
    this->gossip.announce();
}

Http::Awaitable<void> PathWatch::watch()
{
    while (true) {
        co_await this->state.sleepFor(kCheckInterval);
        const Common::Time now = clockNow();
        if (!this->isProbing && Routing::needsProbes(this->health, this->waitingSince(now), now)) {
            this->isProbing = true;
            boost::asio::co_spawn(this->state.context, this->probe(), boost::asio::detached);
        }
        this->decide();
    }
}

} // namespace Tanagerbay::Entry
