#include "Entry/LimitWatch.h"

#include "Membership/Holders.h"
#include "Routing/LimitShare.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Tanagerbay::Entry {

namespace {

// Changes that are learned together are announced together.
constexpr Common::Milliseconds kNewsDelay{10};
// How often this instance's part is computed anew, since the instances may have changed.
constexpr Common::Milliseconds kUpdateInterval{100};
constexpr std::size_t kLimitsPerMessage = 6;
// An entry of the store may be missing for a while although the process goes on.
constexpr std::chrono::seconds kUnlistedMemory{60};
constexpr Common::Milliseconds kQuestionTimeout{250};
constexpr std::size_t kMaxAnswerBytes = 1 << 20;

Routing::ProcessKey keyOf(const Routing::Endpoint &endpoint)
{
    return {endpoint.id, endpoint.incarnation};
}

std::string describe(std::optional<double> perSecond)
{
    return perSecond ? std::to_string(*perSecond) : "none";
}

} // namespace

LimitWatch::LimitWatch(State &state, Gossip &gossip)
    : state(state), gossip(gossip), cold(state, gossip), announcement(state.context)
{
    this->cold.onChange([this] { this->applyToPools(); });
}

void LimitWatch::start()
{
    this->gossip.onDatagram(
        [this](boost::json::object &message, std::uint32_t repeats) {
            std::vector<LimitNews> taken;
            for (const Routing::ProcessKey &process :
                 Membership::takeNews(this->news, kLimitsPerMessage, repeats)) {
                const auto found = this->limits.find(process);
                if (found != this->limits.end())
                    taken.emplace_back(*found);
            }
            attachLimits(message, taken);
            return !taken.empty();
        },
        [this](const boost::json::object &message) {
            for (const auto &[process, limit] : readLimits(message)) {
                if (Routing::mergeLimit(this->limits, process, limit, clockNow()))
                    this->spread(process, "instance");
            }
        });
    this->gossip.onAllReports([this](boost::json::object &message) {
        attachLimits(message, {this->limits.begin(), this->limits.end()});
    });
    this->cold.start();
    boost::asio::co_spawn(this->state.context, this->followInstances(), boost::asio::detached);
}

void LimitWatch::onChange(std::function<void()> action)
{
    this->changeHandler = std::move(action);
}

void LimitWatch::noteAnswer(const Routing::Endpoint &endpoint, const EndpointResponseHead &answer,
                            Common::Time sentAt)
{
    if (answer.isOtherEndpoint)
        return;
    this->cold.noteAnswer(endpoint, answer, sentAt);
    if (answer.hasUnreadableLimit) {
        this->state.metrics.count("endpoint_limits_unreadable");
        this->state.log.write(
            LogLine("endpoint-limit-unreadable").text("endpoint", endpoint.id.value), clockNow());
    }
    // A value that cannot be read shows neither a limit nor its end.
    if (answer.hasUnreadableLimit && !answer.rateLimit)
        return;
    if (Routing::noteAnswer(this->limits, keyOf(endpoint), answer.rateLimit, sentAt, clockNow()))
        this->spread(keyOf(endpoint), "answer");
}

void LimitWatch::spread(const Routing::ProcessKey &process, std::string_view learnedFrom)
{
    const Routing::StatedLimit &limit = this->limits.at(process);
    this->state.metrics.count(labelled("endpoint_limit_changes", "from", learnedFrom));
    this->state.log.write(LogLine(limit.perSecond ? "endpoint-limited" : "endpoint-limit-ended")
                              .text("endpoint", process.endpoint.value)
                              .number("incarnation", static_cast<std::int64_t>(process.incarnation))
                              .text("perSecond", describe(limit.perSecond))
                              .text("from", learnedFrom)
                              .number("limitVersion", static_cast<std::int64_t>(limit.version)),
                          clockNow());
    Membership::publish(this->news, process, process);
    this->applyToPools();
    if (std::exchange(this->isAnnouncementPending, true))
        return;
    this->announcement.start(kNewsDelay, [this] {
        this->isAnnouncementPending = false;
        this->gossip.announce();
    });
}

ColdWatch &LimitWatch::coldEndpoints()
{
    return this->cold;
}

void LimitWatch::applyToPools()
{
    if (this->updateGates() && this->changeHandler)
        this->changeHandler();
}

bool LimitWatch::updateGates()
{
    bool isChanged = false;
    for (auto &[service, pool] : this->state.pools) {
        int limitedCount = 0;
        for (Routing::Endpoint &endpoint : pool.endpoints) {
            const auto found = this->limits.find(keyOf(endpoint));
            const Routing::StatedLimit *limit
                = found == this->limits.end() ? nullptr : &found->second;
            isChanged = this->updateGate(service, endpoint, limit) || isChanged;
            limitedCount += endpoint.statedLimit ? 1 : 0;
        }
        this->state.metrics.gauges[labelled("limited_endpoints", "service", service)]
            = limitedCount;
    }
    return isChanged;
}

bool LimitWatch::isStageService(const std::string &service) const
{
    const Catalog::Service *entry
        = this->state.catalog ? Catalog::findService(*this->state.catalog, service) : nullptr;
    return entry && entry->batching;
}

bool LimitWatch::isOnRoutes(const std::string &service) const
{
    return this->state.catalog && Catalog::isOnRoutes(*this->state.catalog, service);
}

double LimitWatch::requestsPart(const std::string &service, double perSecond) const
{
    if (!this->isStageService(service))
        return perSecond;
    return Routing::stageLimitParts(perSecond, this->isOnRoutes(service)).requests;
}

bool LimitWatch::isBlocked(const std::string &service, double perSecond) const
{
    double smallestPart = perSecond;
    if (this->isStageService(service)) {
        const bool isOnRoutes = this->isOnRoutes(service);
        const Routing::StageLimitParts parts = Routing::stageLimitParts(perSecond, isOnRoutes);
        smallestPart = isOnRoutes ? parts.requests : parts.calls;
    }
    return smallestPart < Routing::kMinUsableLimit;
}

bool LimitWatch::updateGate(const std::string &service, Routing::Endpoint &endpoint,
                            const Routing::StatedLimit *limit)
{
    const std::optional<double> stated = limit ? limit->perSecond : std::nullopt;
    Common::Duration interval{0};
    if (stated) {
        const double perSecond = this->requestsPart(service, *stated);
        const Membership::DutyRank rank
            = Membership::rankFor(this->state.members, endpoint.id.value);
        const std::size_t senders = Routing::senderCount(perSecond, rank.instances);
        const bool isSender = rank.own && *rank.own < senders;
        interval = isSender ? Routing::sendInterval(perSecond, senders) : Routing::kNoSends;
    }
    // The stricter of both.
    interval = std::max(interval, this->cold.applyTo(service, endpoint, clockNow()));
    const bool isChanged = stated != endpoint.statedLimit || interval != endpoint.gate.interval;
    if (isChanged && stated) {
        const bool isSender = interval != Routing::kNoSends;
        this->state.log.write(
            LogLine("endpoint-limit-applied")
                .text("endpoint", endpoint.id.value)
                .text("service", service)
                .text("perSecond", describe(stated))
                .flag("isSender", isSender)
                .milliseconds("intervalMs", isSender ? interval : Common::Duration(0)),
            clockNow());
    }
    endpoint.statedLimit = stated;
    endpoint.gate.interval = interval;
    return isChanged;
}

void LimitWatch::dropOld(Common::Time now)
{
    std::erase_if(this->limits, [this, now](const auto &entry) {
        const auto &[process, limit] = entry;
        const bool isListed = std::any_of(
            this->state.pools.begin(), this->state.pools.end(), [&process](const auto &pool) {
                const auto found = pool.second.indexById.find(process.endpoint);
                return found != pool.second.indexById.end()
                    && pool.second.endpoints[found->second].incarnation == process.incarnation;
            });
        return !isListed && now - limit.learnedAt > kUnlistedMemory;
    });
    std::erase_if(this->askedAt,
                  [this](const auto &entry) { return !this->limits.contains(entry.first); });
}

void LimitWatch::refresh(Common::Time now)
{
    const bool hasChanged = this->cold.dropWarm(now);
    if (this->hasLimits() || this->cold.hasBeliefs() || hasChanged) {
        this->applyToPools();
        this->askForLimits(now);
    }
    this->dropOld(now);
}

Http::Awaitable<void> LimitWatch::followInstances()
{
    while (true) {
        co_await this->state.sleepFor(kUpdateInterval);
        this->refresh(clockNow());
    }
}

bool LimitWatch::beginQuestion(const std::string &service, Routing::Endpoint &endpoint,
                               Common::Time now)
{
    const auto limit = this->limits.find(keyOf(endpoint));
    if (limit == this->limits.end() || !limit->second.perSecond
        || Membership::rankFor(this->state.members, endpoint.id.value).own != 0u)
        return false;
    Common::Time &askedAt = this->askedAt.try_emplace(keyOf(endpoint), now).first->second;
    const bool isBlocked = this->isBlocked(service, *limit->second.perSecond);
    // An answer that has confirmed the limit lately makes the question needless.
    const Common::Time knownAt = isBlocked ? askedAt : std::max(askedAt, limit->second.learnedAt);
    if (now - knownAt < Routing::kLimitQuestionInterval
        || (!isBlocked && now < Routing::opensAt(endpoint.gate)))
        return false;
    if (!isBlocked)
        Routing::takePermit(endpoint.gate, now);
    askedAt = now;
    return true;
}

void LimitWatch::askForLimits(Common::Time now)
{
    for (auto &[service, pool] : this->state.pools) {
        for (Routing::Endpoint &endpoint : pool.endpoints) {
            if (endpoint.statedLimit && !endpoint.isEvacuated
                && this->beginQuestion(service, endpoint, now))
                boost::asio::co_spawn(this->state.context, this->ask(endpoint),
                                      boost::asio::detached);
        }
    }
}

bool LimitWatch::hasLimits() const
{
    return std::any_of(this->limits.begin(), this->limits.end(),
                       [](const auto &entry) { return entry.second.perSecond.has_value(); });
}

Http::Awaitable<void> LimitWatch::ask(Routing::Endpoint endpoint)
{
    const Common::Time sentAt = clockNow();
    Http::CallOptions options;
    options.deadline = sentAt + kQuestionTimeout;
    options.connectTimeout = kQuestionTimeout;
    options.maxBodyBytes = kMaxAnswerBytes;
    options.repeatable = false;
    Http::Request question = this->state.dialect.writeProcessQuestion();
    const auto answer
        = co_await this->state.client.call(endpoint.address, std::move(question), options);
    this->state.metrics.count(
        labelled("endpoint_limit_questions", "result", answer ? "answered" : "unanswered"));
    if (answer)
        this->noteAnswer(endpoint,
                         this->state.dialect.readResponseHead(answer->status, answer->headers),
                         sentAt);
}

} // namespace Tanagerbay::Entry
