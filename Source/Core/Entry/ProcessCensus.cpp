#include "Entry/ProcessCensus.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Tanagerbay::Entry {

namespace asio = boost::asio;

namespace {

// How long a question may take, and how long its answer serves later requests. A stream that they
// take up has begun before.
constexpr Common::Milliseconds kAnswerTimeout{250};
// Each question is a request to its endpoint.
constexpr std::size_t kMaxAsked = 16;
// Rounds begin with requests, so that they may follow each other more slowly than they could.
constexpr int kMaxRoundIntervals = 4;

} // namespace

ProcessCensus::ProcessCensus(State &state, EndpointDiscovery &endpoints, LimitWatch &limits)
    : state(state), endpoints(endpoints), limits(limits)
{
}

Http::Awaitable<std::vector<Common::EndpointId>> ProcessCensus::ask(std::string service)
{
    const Common::Time now = clockNow();
    std::shared_ptr<Round> &last = this->rounds[service];
    // A process that was not listed when it was asked is not confirmed by its answer.
    if (!last || now - last->startedAt >= kAnswerTimeout
        || this->hasNewProcess(service, last->startedAt))
        last = this->begin(service, now);
    const std::shared_ptr<Round> round = last;
    boost::system::error_code ignored;
    if (round->open > 0)
        co_await round->done.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    co_return this->unconfirmed(service, *round);
}

bool ProcessCensus::hasNewProcess(const std::string &service, Common::Time since) const
{
    const std::vector<Routing::Endpoint> &endpoints = this->state.poolOf(service).endpoints;
    return std::any_of(endpoints.begin(), endpoints.end(), [&](const Routing::Endpoint &endpoint) {
        return !this->endpoints.wasListed(endpoint.id, since);
    });
}

std::vector<Common::EndpointId> ProcessCensus::unconfirmed(const std::string &service,
                                                           const Round &round) const
{
    std::vector<Common::EndpointId> found;
    const std::vector<Routing::Endpoint> &endpoints = this->state.poolOf(service).endpoints;
    const auto rounds = static_cast<std::int64_t>((endpoints.size() + kMaxAsked - 1) / kMaxAsked);
    const Common::Time since = round.startedAt - kAnswerTimeout * rounds * kMaxRoundIntervals;
    for (const Routing::Endpoint &endpoint : endpoints) {
        if (round.absent.contains(endpoint.id))
            continue;
        if (this->hasStoppedStating(endpoint.id, since)
            || !this->endpoints.isOnlyProcess(endpoint.id, endpoint.incarnation))
            found.push_back(endpoint.id);
    }
    return found;
}

// A process that has stated itself would do so again, unless it was replaced or is in trouble. It
// may not be asked meanwhile: its answer to the question may have been to wait.
bool ProcessCensus::hasStoppedStating(const Common::EndpointId &id, Common::Time since) const
{
    const Common::Time lastStatedAt = this->endpoints.lastStatedAt(id);
    if (lastStatedAt == Common::Time::min())
        return false;
    const auto found = this->unstated.find(id);
    return lastStatedAt < since || (found != this->unstated.end() && found->second > lastStatedAt);
}

std::shared_ptr<ProcessCensus::Round> ProcessCensus::begin(const std::string &service,
                                                           Common::Time now)
{
    auto round = std::make_shared<Round>(this->state.context);
    round->startedAt = now;
    round->done.expires_at(now + kAnswerTimeout);
    std::erase_if(this->unstated, [now](const auto &entry) {
        return now - entry.second > Routing::kVersionMemory;
    });
    const std::vector<Routing::Endpoint> asked = this->endpointsToAsk(service, now);
    round->open = asked.size();
    for (const Routing::Endpoint &endpoint : asked) {
        this->unstated[endpoint.id] = now;
        asio::co_spawn(this->state.context, this->askOne(service, endpoint, round), asio::detached);
    }
    return round;
}

std::vector<Routing::Endpoint> ProcessCensus::endpointsToAsk(const std::string &service,
                                                             Common::Time now)
{
    std::vector<Routing::Endpoint> asked;
    for (const Routing::Endpoint &endpoint : this->state.poolOf(service).endpoints) {
        const Common::Time lastStatedAt = this->endpoints.lastStatedAt(endpoint.id);
        const bool isKnown = now - kAnswerTimeout <= lastStatedAt
            && this->endpoints.wasListed(endpoint.id, lastStatedAt);
        // The question is a request to the endpoint too.
        const bool mayAsk = !endpoint.isEvacuated && !Routing::isLimited(endpoint.gate)
            && !Routing::isHeld(endpoint, now);
        if (mayAsk && !isKnown && endpoint.incarnation != 0)
            asked.push_back(endpoint);
    }
    std::stable_sort(asked.begin(), asked.end(), [this](const auto &left, const auto &right) {
        return this->endpoints.lastStatedAt(left.id) < this->endpoints.lastStatedAt(right.id);
    });
    if (asked.size() > kMaxAsked)
        asked.erase(asked.begin() + kMaxAsked, asked.end());
    return asked;
}

Http::Awaitable<void> ProcessCensus::askOne(std::string service, Routing::Endpoint endpoint,
                                            std::shared_ptr<Round> round)
{
    const Common::Time askedAt = clockNow();
    Http::CallOptions options;
    options.deadline = askedAt + kAnswerTimeout;
    options.connectTimeout = kAnswerTimeout;
    const ProcessReply reply = co_await askForProcess(this->state, endpoint, options);
    if (reply.head) {
        Routing::Pool &pool = this->state.poolOf(service);
        if (reply.head->holdFor)
            Routing::holdBack(pool, endpoint.id, *reply.head->holdFor, clockNow());
        this->limits.noteAnswer(endpoint, *reply.head, askedAt);
        this->endpoints.noteResponse(endpoint, *reply.head);
    }
    if (reply.startTime && !reply.head->isOtherEndpoint) {
        this->endpoints.noteStated(endpoint.id, *reply.startTime, askedAt);
        this->unstated.erase(endpoint.id);
    }
    if (reply.answer == ProcessAnswer::Absent)
        round->absent.insert(endpoint.id);
    this->state.metrics.count(labelled("process_census", "result", Common::nameOf(reply.answer)));
    if (--round->open == 0)
        round->done.cancel();
}

} // namespace Tanagerbay::Entry
