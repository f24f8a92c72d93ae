#include "Entry/ColdWatch.h"

#include "Membership/Holders.h"
#include "Routing/ColdGate.h"

#include <algorithm>
#include <utility>

namespace Tanagerbay::Entry {

namespace {

// An endpoint that does not answer may run again at any moment. Its new process writes its entry
// soon, and entries reach all instances within the leaving delay; one that stays away is dropped
// from the list.
constexpr int kDoubtPerLeavingDelay = 2;
// How long a part is used: the instances change slowly, and ranking them takes time.
constexpr Common::Milliseconds kPartLifetime{1000};
// Changes that are learned together are announced together.
constexpr Common::Milliseconds kNewsDelay{10};
constexpr std::size_t kNewsPerMessage = 12;
// Others are told again if an endpoint stays cold longer by at least this time.
constexpr Common::Milliseconds kToldMargin{500};

} // namespace

ColdWatch::ColdWatch(State &state, Gossip &gossip)
    : state(state), gossip(gossip), announcement(state.context)
{
}

void ColdWatch::start()
{
    this->gossip.onDatagram(
        [this](boost::json::object &message, std::uint32_t repeats) {
            const std::vector<ColdNews> taken
                = this->newsOf(Membership::takeNews(this->news, kNewsPerMessage, repeats));
            attachColdNews(message, taken);
            return !taken.empty();
        },
        [this](const boost::json::object &message) {
            for (const ColdNews &told : readColdNews(message))
                this->noteTold(told);
        });
    this->gossip.onAllReports([this](boost::json::object &message) {
        std::vector<Common::EndpointId> all;
        for (const auto &[id, belief] : this->beliefs)
            all.push_back(id);
        attachColdNews(message, this->newsOf(all));
    });
}

std::vector<ColdNews> ColdWatch::newsOf(const std::vector<Common::EndpointId> &ids) const
{
    const Common::Time now = clockNow();
    std::vector<ColdNews> news;
    for (const Common::EndpointId &id : ids) {
        const auto known = this->beliefs.find(id);
        // A failed call says as much about the path of this instance.
        if (known == this->beliefs.end() || known->second.reason == Routing::ColdReason::Failed)
            continue;
        const auto left
            = std::chrono::duration_cast<Common::Milliseconds>(known->second.until - now);
        if (left.count() > 0)
            news.push_back({id, left});
    }
    return news;
}

void ColdWatch::noteTold(const ColdNews &news)
{
    if (!this->state.settings.bounds.coldEndpoints)
        return;
    const std::string service = this->serviceOf(news.endpoint);
    const auto start = this->coldStartOf(service);
    Common::Milliseconds left = news.left;
    if (start && start->period.count() > 0)
        left = std::min(left, start->period);
    const Routing::ColdChange change
        = Routing::noteTold(this->beliefs, this->ends, news.endpoint, left, clockNow());
    // What only prolongs a belief is not told on: it would come back, ending later each time.
    if (change == Routing::ColdChange::Began)
        this->note(change, service, news.endpoint);
}

void ColdWatch::spread(Routing::ColdChange change, const Common::EndpointId &id)
{
    const auto known = this->beliefs.find(id);
    if (change == Routing::ColdChange::Ended || known == this->beliefs.end()) {
        this->toldUntil.erase(id);
        return;
    }
    Common::Time &told = this->toldUntil[id];
    // Small changes are not worth a message.
    if (known->second.reason == Routing::ColdReason::Failed
        || known->second.until - told < kToldMargin)
        return;
    told = known->second.until;
    Membership::publish(this->news, id, id);
    if (std::exchange(this->isAnnouncementPending, true))
        return;
    this->announcement.start(kNewsDelay, [this] {
        this->isAnnouncementPending = false;
        this->gossip.announce();
    });
}

void ColdWatch::onChange(std::function<void()> action)
{
    this->changeHandler = std::move(action);
}

std::optional<Catalog::ColdStart> ColdWatch::coldStartOf(const std::string &service) const
{
    if (!this->state.settings.bounds.coldEndpoints || !this->state.catalog)
        return std::nullopt;
    const Catalog::Service *entry = Catalog::findService(*this->state.catalog, service);
    return entry ? entry->coldStart : std::nullopt;
}

std::string ColdWatch::serviceOf(const Common::EndpointId &id) const
{
    for (const auto &[service, pool] : this->state.pools) {
        if (pool.indexById.contains(id))
            return service;
    }
    return {};
}

void ColdWatch::note(Routing::ColdChange change, const std::string &service,
                     const Common::EndpointId &id)
{
    using Routing::ColdChange;
    if (change == ColdChange::None)
        return;
    this->spread(change, id);
    const Common::Time now = clockNow();
    const auto known = this->beliefs.find(id);
    if (change == ColdChange::Began && known != this->beliefs.end()) {
        const std::string_view reason = Common::nameOf(known->second.reason);
        this->state.metrics.count(labelled("endpoints_turned_cold", "reason", reason));
        this->state.log.write(LogLine("endpoint-cold")
                                  .text("endpoint", id.value)
                                  .text("service", service)
                                  .text("reason", reason)
                                  .milliseconds("leftMs", known->second.until - now),
                              now);
    } else if (change == ColdChange::Ended) {
        Routing::noteEnd(this->ends, id, now);
        this->parts.erase(id);
        this->state.log.write(
            LogLine("endpoint-warm").text("endpoint", id.value).text("service", service), now);
    }
    // The gates of others are left as they are by a belief that only lasts longer or shorter.
    const bool changesGate = change == ColdChange::Began || change == ColdChange::Ended;
    if (changesGate && this->changeHandler)
        this->changeHandler();
}

void ColdWatch::noteEntry(const ListedEndpoint &listed, Routing::ProcessNews process)
{
    const auto start = this->coldStartOf(listed.service);
    // Until the catalog is known, what the entry states is kept.
    if (!start && (this->state.catalog || !this->state.settings.bounds.coldEndpoints))
        return;
    const Common::Milliseconds period = start ? start->period : Common::Milliseconds(0);
    this->note(Routing::noteEntry(this->beliefs, listed.entry.id, process, listed.coldLeft, period,
                                  clockNow()),
               listed.service, listed.entry.id);
}

void ColdWatch::noteAnswer(const Routing::Endpoint &endpoint, const EndpointResponseHead &answer,
                           Common::Time sentAt)
{
    if (!answer.coldLeft)
        return;
    const std::string service = this->serviceOf(endpoint.id);
    if (this->coldStartOf(service))
        this->note(
            Routing::noteAnswer(this->beliefs, endpoint.id, *answer.coldLeft, sentAt, clockNow()),
            service, endpoint.id);
}

void ColdWatch::noteProcess(const Routing::Endpoint &endpoint, std::uint64_t process)
{
    const std::string service = this->serviceOf(endpoint.id);
    const auto start = this->coldStartOf(service);
    if (!start || endpoint.incarnation == 0)
        return;
    const Common::EndpointId id = endpoint.id;
    const auto &pool = this->state.pools.at(service);
    // A connection that is kept open may have been asked before the listed process started.
    if (process > pool.endpoints[pool.indexById.at(id)].incarnation)
        this->note(Routing::presumeCold(this->beliefs, id, Routing::ColdReason::Started,
                                        start->period, clockNow()),
                   service, id);
}

void ColdWatch::noteFailure(const std::string &service, const Common::EndpointId &id)
{
    const auto pool = this->state.pools.find(service);
    // An instance that reaches no endpoint learns nothing about one.
    if (pool == this->state.pools.end() || this->state.hasLostPaths || !this->coldStartOf(service))
        return;
    const Common::Time now = clockNow();
    const auto found = pool->second.indexById.find(id);
    if (found == pool->second.indexById.end()
        || !Routing::isEjected(pool->second.endpoints[found->second], now))
        return;
    const Common::Duration period
        = this->state.settings.bounds.leavingDelay * kDoubtPerLeavingDelay;
    this->note(Routing::presumeCold(this->beliefs, id, Routing::ColdReason::Failed, period, now),
               service, id);
}

void ColdWatch::noteReturned(const Common::FailureDomain &domain)
{
    for (const auto &[service, pool] : this->state.pools) {
        const auto start = this->coldStartOf(service);
        if (!start)
            continue;
        for (const Routing::Endpoint &endpoint : pool.endpoints) {
            if (endpoint.failureDomain != domain)
                continue;
            const Common::EndpointId id = endpoint.id;
            this->note(Routing::presumeCold(this->beliefs, id, Routing::ColdReason::Returned,
                                            start->period, clockNow()),
                       service, id);
        }
    }
}

Common::Duration ColdWatch::partOf(const Common::EndpointId &id, double perSecond, Common::Time now)
{
    const auto known = this->parts.find(id);
    if (known != this->parts.end() && known->second.perSecond == perSecond
        && now - known->second.computedAt < kPartLifetime)
        return known->second.interval;
    const Membership::DutyRank rank
        = Membership::rankAmongKnown(this->state.members, id.value, now);
    const Routing::ColdShare share
        = Routing::coldShare(perSecond, *this->state.settings.bounds.coldEndpoints, rank.instances);
    // An instance that has not learned yet which others there are must not send for them. Reports
    // of a few don't show it; once more are known than send, others add no senders.
    const bool knowsOthers = this->state.instancesWereListed || rank.instances >= share.senders + 1;
    Common::Duration interval = Routing::kNoSends;
    if (knowsOthers && rank.own && *rank.own < share.senders)
        interval = share.interval;
    this->parts[id] = {interval, perSecond, now};
    return interval;
}

Common::Duration ColdWatch::applyTo(const std::string &service, Routing::Endpoint &endpoint,
                                    Common::Time now)
{
    const auto start = this->coldStartOf(service);
    if (!start || !Routing::isCold(this->beliefs, endpoint.id, now)) {
        endpoint.coldPerSecond.reset();
        return Common::Duration(0);
    }
    if (!endpoint.coldPerSecond)
        Routing::beginCold(endpoint.gate, this->state.startedAt, now);
    endpoint.coldPerSecond = start->perSecond;
    return this->partOf(endpoint.id, start->perSecond, now);
}

bool ColdWatch::dropWarm(Common::Time now)
{
    Routing::noteEnds(this->ends, this->beliefs, now);
    std::vector<Common::EndpointId> warm = Routing::takeWarm(this->beliefs, now);
    if (this->state.hasLostPaths) {
        std::erase_if(this->beliefs, [&warm](const auto &entry) {
            if (entry.second.reason != Routing::ColdReason::Failed)
                return false;
            warm.push_back(entry.first);
            return true;
        });
    }
    for (const Common::EndpointId &id : warm) {
        this->parts.erase(id);
        this->toldUntil.erase(id);
        this->state.log.write(LogLine("endpoint-warm")
                                  .text("endpoint", id.value)
                                  .text("service", this->serviceOf(id)),
                              now);
    }
    if (!warm.empty() || this->hasBeliefs())
        this->countCold(now);
    return !warm.empty();
}

void ColdWatch::countCold(Common::Time now)
{
    for (const auto &[service, pool] : this->state.pools) {
        if (!this->coldStartOf(service))
            continue;
        const auto count
            = std::count_if(pool.endpoints.begin(), pool.endpoints.end(), [&](const auto &each) {
                  return Routing::isCold(this->beliefs, each.id, now);
              });
        this->state.metrics.gauges[labelled("cold_endpoints", "service", service)]
            = static_cast<double>(count);
    }
}

bool ColdWatch::hasBeliefs() const
{
    return !this->beliefs.empty();
}

} // namespace Tanagerbay::Entry
