#include "Entry/StreamRegistry.h"

#include "Common/Hash.h"
#include "Membership/Holders.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Tanagerbay::Entry {

namespace asio = boost::asio;

namespace {

// Number of other instances that are told of a stream. Several may fail at once, and a datagram may
// be lost.
constexpr std::size_t kHolders = 3;
// More are asked, since the instance that told them may have believed other ones to be down.
constexpr std::size_t kAskedInstances = 8;
// A question is repeated, since datagrams may be lost. Together less than callers wait for a
// connection.
constexpr int kAskRounds = 3;
constexpr Common::Milliseconds kAskPeriod{80};
// Callers choose the names of attempts. A longer one is replaced by its digest.
constexpr std::size_t kMaxAttemptLength = 64;

std::string keyOf(const std::string &attempt)
{
    return attempt.size() <= kMaxAttemptLength ? attempt : Common::digestOf(attempt);
}

} // namespace

StreamRegistry::StreamRegistry(State &state, PeerDatagrams &datagrams, Store &store,
                               EndpointDiscovery &endpoints)
    : state(state), datagrams(datagrams), endpoints(endpoints),
      recorder(state, datagrams, store, endpoints, this->origins)
{
}

void StreamRegistry::start()
{
    this->datagrams.on(
        kStreamMember, [this](const boost::json::object &object, const Common::Address &sender) {
            const auto message = readStreamMessage(object.at(kStreamMember), clockNow());
            if (message)
                this->handle(*message, sender);
            else
                this->state.metrics.count("datagrams_invalid");
        });
    this->recorder.onLoaded([this] { this->endSearches(); });
    this->recorder.start();
}

void StreamRegistry::send(const Common::Address &to, const StreamMessage &message)
{
    boost::json::object object;
    object[kStreamMember] = toJson(message, clockNow());
    this->datagrams.send(to, object);
}

void StreamRegistry::noteVersions()
{
    for (auto &[attempt, origin] : this->origins.byAttempt) {
        if (origin.isVersionKnown)
            continue;
        if (const auto version = this->endpoints.versionOf(origin)) {
            origin.version = *version;
            origin.isVersionKnown = true;
        }
    }
    this->recorder.noteVersions(clockNow());
}

void StreamRegistry::share(const std::string &key, const Serving::StreamOrigin &origin)
{
    const Common::Time now = clockNow();
    Serving::addOrigin(this->origins, key, origin, now);
    StreamMessage message{StreamMessageKind::Began, 0, key, origin};
    // Others need not find out again that the stream was begun by another process too.
    const auto *known = Serving::findOrigin(this->origins, key, origin.expiresAt, now);
    if (known && known->isContradicted)
        message.origin = *known;
    for (const Membership::Member *holder :
         Membership::holdersOf(this->state.members, key, kHolders, false, now))
        this->send(holder->report.peerAddress, message);
}

void StreamRegistry::noteBegun(const std::string &attempt, const Serving::StreamOrigin &origin)
{
    const std::string key = keyOf(attempt);
    this->share(key, origin);
    this->recorder.noteBegun(key, origin);
}

void StreamRegistry::noteIncomplete(const std::string &attempt, const Serving::StreamOrigin &origin)
{
    // A caller need not name the attempt that it resumes.
    if (!attempt.empty())
        this->share(keyOf(attempt), origin);
}

bool StreamRegistry::isWaiting(const Search &search) const
{
    const Common::Time now = clockNow();
    if (!search.origin && this->recorder.isLoading())
        return true;
    const auto &awaited = search.awaited();
    return std::any_of(awaited.begin(), awaited.end(), [&](const auto &entry) {
        const auto found = this->state.members.byId.find(entry.second);
        return found != this->state.members.byId.end()
            && !Membership::isSuspect(this->state.members, found->second, now);
    });
}

Http::Awaitable<StreamSearch> StreamRegistry::find(std::string attempt, Common::Time neededUntil)
{
    StreamSearch result;
    const Common::Time now = clockNow();
    const std::string key = keyOf(attempt);
    if (key.empty())
        co_return result;
    Search search(this->state.context);
    search.attempt = key;
    search.neededUntil = neededUntil;
    const auto *here = Serving::findOrigin(this->origins, key, neededUntil, now);
    if (here && !here->isPresumed)
        search.origin = *here;
    for (const Membership::Member *holder :
         Membership::holdersOf(this->state.members, key, kHolders, false, now))
        search.unansweredHolders.emplace(holder->report.peerAddress, holder->report.id);
    std::vector<const Membership::Member *> asked
        = Membership::holdersOf(this->state.members, key, kAskedInstances, true, now);
    const std::vector<const Membership::Member *> keepers = this->recorder.otherKeepers(now);
    asked.insert(asked.end(), keepers.begin(), keepers.end());
    for (const Membership::Member *holder : asked)
        search.unanswered.emplace(holder->report.peerAddress, holder->report.id);
    result.isKnownHere = search.origin.has_value();
    result.askedCount = search.awaited().size();
    StreamMessage question{StreamMessageKind::Find, ++this->lastNumber, key, {}};
    question.origin.expiresAt = neededUntil;
    this->searches[question.number] = &search;
    for (int round = 0; round < kAskRounds && this->isWaiting(search); ++round) {
        for (const auto &[address, instance] : search.awaited())
            this->send(address, question);
        search.timer.expires_after(kAskPeriod);
        boost::system::error_code ignored;
        co_await search.timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    this->searches.erase(question.number);
    result.unansweredCount = search.awaited().size();
    result.origin
        = Serving::latestOrigin(this->origins, key, search.origin, neededUntil, clockNow());
    co_return result;
}

void StreamRegistry::handle(const StreamMessage &message, const Common::Address &sender)
{
    const Common::Time now = clockNow();
    if (message.kind == StreamMessageKind::Began) {
        Serving::addOrigin(this->origins, message.attempt, message.origin, now);
        return;
    }
    if (message.kind == StreamMessageKind::Find) {
        StreamMessage answer{StreamMessageKind::Unknown, message.number, message.attempt, {}};
        const Serving::StreamOrigin *origin
            = Serving::findOrigin(this->origins, message.attempt, message.origin.expiresAt, now);
        if (origin) {
            answer.kind = StreamMessageKind::Found;
            answer.origin = *origin;
        } else if (this->recorder.isLoading()) {
            // The question is repeated.
            return;
        }
        this->send(sender, answer);
        return;
    }
    // An answer may come after its question has ended.
    const auto found = this->searches.find(message.number);
    if (found == this->searches.end())
        return;
    Search &search = *found->second;
    search.unanswered.erase(sender);
    search.unansweredHolders.erase(sender);
    // Another instance may not know yet that the endpoint was restarted.
    if (message.kind == StreamMessageKind::Found) {
        Serving::addOrigin(this->origins, search.attempt, message.origin, now);
        const auto *known
            = Serving::findOrigin(this->origins, search.attempt, search.neededUntil, now);
        if (known && !known->isPresumed)
            search.origin = *known;
        else if (!known && !Serving::isUncertain(this->origins, message.origin))
            search.origin = message.origin;
    }
    if (!this->isWaiting(search))
        search.timer.cancel();
}

void StreamRegistry::endSearches()
{
    const Common::Time now = clockNow();
    for (const auto &[number, search] : this->searches) {
        const auto *origin
            = Serving::findOrigin(this->origins, search->attempt, search->neededUntil, now);
        if (origin && !origin->isPresumed)
            search->origin = *origin;
        if (!this->isWaiting(*search))
            search->timer.cancel();
    }
}

void StreamRegistry::forget(const Common::EndpointId &endpoint, std::uint64_t incarnation,
                            Common::Time since)
{
    Serving::forgetOrigins(this->origins, endpoint, incarnation, since, clockNow());
}

void StreamRegistry::handOver()
{
    const Common::Time now = clockNow();
    for (const auto &[attempt, origin] : this->origins.byAttempt) {
        // The first ones hold it already, unless this instance was one of them.
        const auto holders
            = Membership::holdersOf(this->state.members, attempt, kHolders, false, now);
        if (!holders.empty() && origin.expiresAt > now)
            this->send(holders.back()->report.peerAddress,
                       {StreamMessageKind::Began, 0, attempt, origin});
    }
    this->recorder.flush();
}

std::size_t StreamRegistry::size() const
{
    return this->origins.byAttempt.size();
}

} // namespace Tanagerbay::Entry
