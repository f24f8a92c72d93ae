#include "Entry/CrashWatch.h"

#include "Common/Hash.h"
#include "Entry/PeerMesh.h"
#include "Http/ListenerProbe.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Tanagerbay::Entry {

namespace json = boost::json;

namespace {

// A process that has ended refuses connections at once; no answer means that the network is at
// fault.
constexpr Common::Milliseconds kProbeTimeout{250};
// News that arise together, when many requests lose one endpoint or many endpoints crash, are
// announced and decided on together.
constexpr Common::Milliseconds kNewsDelay{10};
// A trial whose request was never answered does not hold the next one up for longer.
constexpr std::chrono::seconds kTrialTimeout{60};
constexpr std::chrono::seconds kExpiryInterval{10};
constexpr std::size_t kMaxNames = 512;
// Name of the member of a datagram that shows what its sender holds back.
constexpr const char *kVerdictDigest = "heldBack";

} // namespace

CrashWatch::CrashWatch(State &state, Gossip &gossip)
    : state(state), gossip(gossip), nextDecision(state.context), newsAction(state.context)
{
}

void CrashWatch::start()
{
    this->gossip.onDatagram(
        [this](json::object &message, std::uint32_t repeats) {
            if (const std::uint64_t digest = Quarantine::digestOf(this->suspicions); digest != 0)
                message[kVerdictDigest] = digest;
            return attach(this->exchange, message, repeats, clockNow());
        },
        [this](const json::object &message) {
            const Common::Time now = clockNow();
            this->apply(readEvidence(message, now), now);
            this->compareVerdicts(message, now);
        });
    this->gossip.onAllReports([this](json::object &message) {
        attachAll(Quarantine::allEvidence(this->evidence), message, clockNow());
    });
    boost::asio::co_spawn(this->state.context, this->dropOldEvidence(), boost::asio::detached);
}

void CrashWatch::onChange(std::function<void()> action)
{
    this->changeHandler = std::move(action);
}

void CrashWatch::noteLost(const Routing::Endpoint &endpoint,
                          const std::vector<Quarantine::Trait> &traits,
                          const std::vector<std::string> &traitNames)
{
    const Quarantine::Process process{endpoint.id, endpoint.incarnation};
    this->rememberNames(traits, traitNames);
    const Common::Time now = clockNow();
    if (this->evidence.crashes.contains(process)) {
        this->recordCrash(process, {now, traits});
        return;
    }
    const auto [found, added] = this->losses.try_emplace(process, Loss{now, {}});
    std::vector<Quarantine::Trait> &suspects = found->second.suspects;
    suspects.insert(suspects.end(), traits.begin(), traits.end());
    if (added) {
        boost::asio::co_spawn(this->state.context, this->findCause(process, endpoint.address),
                              boost::asio::detached);
    }
}

Http::Awaitable<void> CrashWatch::findCause(Quarantine::Process process, Common::Address address)
{
    const Http::ListenerState listener
        = co_await Http::probeListener(this->state.context.get_executor(), address, kProbeTimeout);
    const auto found = this->losses.find(process);
    const Loss loss = std::move(found->second);
    this->losses.erase(found);
    // One connection of a process that goes on, or a cut network, says nothing about the requests.
    if (listener == Http::ListenerState::Refusing)
        this->recordCrash(process, loss);
}

void CrashWatch::recordCrash(const Quarantine::Process &process, const Loss &loss)
{
    const Common::Time now = clockNow();
    const Quarantine::News news
        = Quarantine::mergeCrash(this->evidence, {process, loss.at, loss.suspects}, now);
    if (news.crashes.empty())
        return;
    this->state.metrics.count("endpoint_crashes_reported");
    LogLine line("endpoint-crashed");
    line.text("endpoint", process.endpoint.value)
        .number("incarnation", static_cast<std::int64_t>(process.incarnation))
        .text("suspects", this->describe({news.crashes.front().suspects, 1, loss.at}))
        .number("acquitted", static_cast<std::int64_t>(news.acquittals.size()));
    this->state.log.write(line, now);
    this->spread(news);
}

void CrashWatch::noteAnswerBegun(const std::vector<Quarantine::Trait> &traits)
{
    const Common::Time now = clockNow();
    const Quarantine::News news = Quarantine::noteAnswerBegun(this->evidence, traits, now);
    if (!news.acquittals.empty())
        this->spread(news);
}

void CrashWatch::apply(const Quarantine::News &news, Common::Time now)
{
    for (const Quarantine::Acquittal &acquittal : news.acquittals)
        this->spread(Quarantine::mergeAcquittal(this->evidence, acquittal, now));
    for (const Quarantine::Crash &crash : news.crashes)
        this->spread(Quarantine::mergeCrash(this->evidence, crash, now));
}

void CrashWatch::compareVerdicts(const json::object &message, Common::Time now)
{
    // What another instance answers with all that it knows comes without a digest.
    const auto sender = message.contains("probe") ? senderOf(message) : std::nullopt;
    if (!sender
        || !Quarantine::mustAsk(this->comparison, Quarantine::digestOf(this->suspicions),
                                numberOf(message, kVerdictDigest), now))
        return;
    this->state.metrics.count("quarantine_evidence_asked_for");
    this->gossip.askForAll(*sender);
}

void CrashWatch::spread(const Quarantine::News &news)
{
    if (news.crashes.empty() && news.acquittals.empty())
        return;
    publish(this->exchange, news);
    if (this->isNewsPending)
        return;
    this->isNewsPending = true;
    this->newsAction.start(kNewsDelay, [this] {
        this->isNewsPending = false;
        this->gossip.announce();
        this->decide();
    });
}

void CrashWatch::decide()
{
    const Common::Time now = clockNow();
    const std::vector<Quarantine::Suspicion> before = std::move(this->suspicions);
    this->suspicions = Quarantine::quarantined(this->evidence, now);
    if (const auto next = Quarantine::nextDecisionAt(this->evidence, now))
        this->nextDecision.start(*next - now, [this] { this->decide(); });
    if (this->suspicions == before)
        return;
    this->logChanges(before, now);
    if (this->changeHandler)
        this->changeHandler();
}

void CrashWatch::logChanges(const std::vector<Quarantine::Suspicion> &before, Common::Time now)
{
    const auto hasTraits = [](const std::vector<Quarantine::Suspicion> &all,
                              const std::vector<Quarantine::Trait> &traits) {
        return std::any_of(all.begin(), all.end(),
                           [&](const auto &suspicion) { return suspicion.traits == traits; });
    };
    for (const Quarantine::Suspicion &suspicion : this->suspicions) {
        if (hasTraits(before, suspicion.traits))
            continue;
        this->state.metrics.count("quarantines_begun");
        this->state.log.write(
            LogLine("quarantine-begun")
                .text("traits", this->describe(suspicion))
                .number("crashes", static_cast<std::int64_t>(suspicion.crashCount))
                .milliseconds("lastCrashAgeMs", now - suspicion.lastCrashAt),
            now);
    }
    for (const Quarantine::Suspicion &suspicion : before) {
        if (!hasTraits(this->suspicions, suspicion.traits))
            this->state.log.write(
                LogLine("quarantine-ended").text("traits", this->describe(suspicion)), now);
    }
}

const Quarantine::Suspicion *CrashWatch::find(const std::vector<Quarantine::Trait> &traits) const
{
    return Quarantine::findSuspicion(this->suspicions, traits);
}

bool CrashWatch::isTrialInstance(const Quarantine::Suspicion &suspicion, Common::Time now) const
{
    std::vector<std::string> instances{this->state.settings.instance.value};
    for (const auto &[id, member] : this->state.members.byId) {
        const bool isLive = member.report.state == Membership::MemberState::Live
            && !Membership::isSuspect(this->state.members, member, now);
        if (id != this->state.settings.instance && isLive)
            instances.push_back(id.value);
    }
    std::sort(instances.begin(), instances.end());
    const std::string key = std::to_string(suspicion.traits.front());
    return instances[Common::rendezvousChoice(key, instances)]
        == this->state.settings.instance.value;
}

bool CrashWatch::beginTrial(const Quarantine::Suspicion &suspicion)
{
    const Common::Time now = clockNow();
    if (now < Quarantine::trialAt(suspicion) || !this->isTrialInstance(suspicion, now))
        return false;
    const auto [trial, added] = this->trials.try_emplace(suspicion.traits, now);
    if (!added && now - trial->second < kTrialTimeout)
        return false;
    trial->second = now;
    this->state.log.write(LogLine("quarantine-trial").text("traits", this->describe(suspicion)),
                          now);
    return true;
}

void CrashWatch::cancelTrial(const std::vector<Quarantine::Trait> &suspicionTraits)
{
    this->trials.erase(suspicionTraits);
}

void CrashWatch::rememberNames(const std::vector<Quarantine::Trait> &traits,
                               const std::vector<std::string> &traitNames)
{
    for (std::size_t i = 0; i < traits.size() && this->names.size() < kMaxNames; ++i)
        this->names.try_emplace(traits[i], traitNames[i]);
}

std::string CrashWatch::describe(const Quarantine::Suspicion &suspicion) const
{
    constexpr std::size_t kMaxDescribed = 8;
    std::string text;
    for (std::size_t i = 0; i < suspicion.traits.size() && i < kMaxDescribed; ++i) {
        const auto name = this->names.find(suspicion.traits[i]);
        text += text.empty() ? "" : ",";
        text += name == this->names.end() ? std::to_string(suspicion.traits[i]) : name->second;
    }
    return text;
}

json::array CrashWatch::dump() const
{
    const Common::Time now = clockNow();
    json::array list;
    for (const Quarantine::Suspicion &suspicion : this->suspicions) {
        list.push_back(
            {{"traits", this->describe(suspicion)},
             {"crashes", suspicion.crashCount},
             {"lastCrashAgeMs", Common::toMilliseconds(now - suspicion.lastCrashAt)},
             {"trialInMs", Common::toMilliseconds(Quarantine::trialAt(suspicion) - now)}});
    }
    return list;
}

Http::Awaitable<void> CrashWatch::dropOldEvidence()
{
    while (true) {
        co_await this->state.sleepFor(kExpiryInterval);
        const Common::Time now = clockNow();
        Quarantine::expire(this->evidence, now);
        std::erase_if(this->trials,
                      [now](const auto &trial) { return now - trial.second >= kTrialTimeout; });
        if (this->evidence.crashes.empty())
            this->names.clear();
        this->decide();
    }
}

} // namespace Tanagerbay::Entry
