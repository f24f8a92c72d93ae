#include "Membership/Detector.h"

#include <algorithm>

namespace Tanagerbay::Membership {

namespace {

using Common::InstanceId;
using Common::Time;

constexpr std::uint32_t kMaxDelayScore = 4;
constexpr std::uint32_t kAnswersPerScore = 8;
// A tick that is later than this after the one before it shows that this instance stood still.
// Answers may be waiting unread, so nobody is suspected.
constexpr int kMaxMissedPeriods = 3;
constexpr Common::Milliseconds kRelayMemory{2000};
// Share of failed instances from which on one of them is probed in each period besides: the
// instance may have been cut off from the others, or they from it.
constexpr double kManyFailedShare = 0.05;
// Otherwise a failed instance is probed in one of so many periods.
constexpr std::uint64_t kPeriodsPerFailedProbe = 4;

int orderOf(Condition condition)
{
    return static_cast<int>(condition);
}

bool isNewer(const MemberNews &news, const Member &known)
{
    if (!known.lastReportAt)
        return true;
    const MemberReport &before = known.report;
    if (news.report.incarnation != before.incarnation)
        return news.report.incarnation > before.incarnation;
    if (news.report.sequence != before.sequence)
        return news.report.sequence > before.sequence;
    return orderOf(news.condition) > orderOf(known.condition);
}

Common::Duration stretched(const Detector &detector, Common::Milliseconds timeout)
{
    return timeout * static_cast<std::int64_t>(1 + detector.delayScore);
}

void setCondition(Detector &detector, Member &member, Condition condition, Time now)
{
    if (member.condition == condition)
        return;
    member.condition = condition;
    member.conditionSince = now;
    // An instance that has only been listed has no report that others could compare.
    if (member.lastReportAt)
        publish(detector.news, member.report.id, MemberNews{member.report, condition});
}

// Instances other than this one, with the given address excluded, that are believed to be alive.
std::vector<const Member *> aliveOthers(const Members &members, const InstanceId &excluded)
{
    std::vector<const Member *> others;
    for (const auto &[id, member] : members.byId) {
        if (id != members.self && id != excluded && member.condition == Condition::Alive
            && member.report.peerAddress.isSet())
            others.push_back(&member);
    }
    return others;
}

void shuffleOrder(Detector &detector, const Members &members, std::mt19937_64 &random)
{
    detector.order.clear();
    for (const auto &[id, member] : members.byId) {
        if (id != members.self && member.condition != Condition::Failed)
            detector.order.push_back(id);
    }
    std::shuffle(detector.order.begin(), detector.order.end(), random);
    detector.nextInOrder = 0;
}

std::optional<ProbeMessage> startProbe(Detector &detector, const Members &members,
                                       const InstanceId &target, Time now)
{
    const auto found = members.byId.find(target);
    if (found == members.byId.end() || !found->second.report.peerAddress.isSet())
        return std::nullopt;
    detector.probe = Detector::Probe{target, ++detector.lastNumber, now, false, false};
    return ProbeMessage{
        ProbeKind::Probe, found->second.report.peerAddress, detector.lastNumber, {}};
}

void startNextProbe(Detector &detector, const Members &members, Time now, std::mt19937_64 &random,
                    std::vector<ProbeMessage> &messages)
{
    // Two passes at most: the second begins with a fresh order.
    for (int pass = 0; pass < 2; ++pass) {
        while (detector.nextInOrder < detector.order.size()) {
            const InstanceId &target = detector.order[detector.nextInOrder++];
            const auto found = members.byId.find(target);
            if (found == members.byId.end() || found->second.condition == Condition::Failed)
                continue;
            if (const auto message = startProbe(detector, members, target, now)) {
                messages.push_back(*message);
                return;
            }
        }
        shuffleOrder(detector, members, random);
    }
}

// A failed instance may be back without knowing anyone that believes it to be alive.
void probeFailed(Detector &detector, const Members &members, std::mt19937_64 &random,
                 std::vector<ProbeMessage> &messages)
{
    std::vector<const Member *> failed;
    for (const auto &[id, member] : members.byId) {
        if (member.condition == Condition::Failed)
            failed.push_back(&member);
    }
    if (failed.empty())
        return;
    const bool many = static_cast<double>(failed.size())
        > kManyFailedShare * static_cast<double>(members.byId.size());
    if (!many && random() % kPeriodsPerFailedProbe != 0)
        return;
    const Member &chosen = *failed[random() % failed.size()];
    messages.push_back({ProbeKind::Probe, chosen.report.peerAddress, ++detector.lastNumber, {}});
}

// Ends the probe of the last period.
void concludeProbe(Detector &detector, Members &members, Time now)
{
    const Detector::Probe probe = *std::exchange(detector.probe, std::nullopt);
    if (probe.isAnswered) {
        if (++detector.answersInARow % kAnswersPerScore == 0 && detector.delayScore > 0)
            --detector.delayScore;
        return;
    }
    detector.answersInARow = 0;
    detector.delayScore = std::min(detector.delayScore + 1, kMaxDelayScore);
    const auto found = members.byId.find(probe.target);
    if (found != members.byId.end() && found->second.condition == Condition::Alive)
        setCondition(detector, found->second, Condition::Suspected, now);
}

void endSuspicions(Detector &detector, Members &members, Time now)
{
    for (auto &[id, member] : members.byId) {
        if (member.condition == Condition::Suspected
            && now - member.conditionSince >= detector.settings.suspicionPeriod)
            setCondition(detector, member, Condition::Failed, now);
    }
    std::erase_if(members.byId, [&](const auto &entry) {
        const Member &member = entry.second;
        const bool isForgotten = entry.first != members.self
            && member.condition == Condition::Failed
            && now - member.conditionSince >= detector.settings.failedMemory;
        if (isForgotten)
            detector.forgotten.insert(entry.first);
        return isForgotten;
    });
}

NewsEffect recordNews(Members &members, const MemberNews &news, Time now)
{
    if (news.report.id == members.self)
        return NewsEffect::AboutSelf;
    const auto [entry, added] = members.byId.try_emplace(news.report.id);
    Member &member = entry->second;
    if (added)
        member.firstSeenAt = now;
    if (!isNewer(news, member)) {
        // The version of the catalog rises without a new sequence.
        if (news.condition == Condition::Alive && member.lastReportAt
            && news.report.incarnation == member.report.incarnation
            && news.report.sequence == member.report.sequence) {
            member.report.catalogVersion
                = std::max(member.report.catalogVersion, news.report.catalogVersion);
            member.report.requestsInProgress = news.report.requestsInProgress;
        }
        return NewsEffect::None;
    }
    member.report = news.report;
    member.lastReportAt = now;
    const Condition before = member.condition;
    if (before != news.condition) {
        member.condition = news.condition;
        member.conditionSince = now;
    }
    const bool hasReturned = before == Condition::Failed && news.condition == Condition::Alive;
    return hasReturned ? NewsEffect::Returned : NewsEffect::Changed;
}

} // namespace

std::vector<ProbeMessage> tick(Detector &detector, Members &members, Time now,
                               std::mt19937_64 &random)
{
    std::vector<ProbeMessage> messages;
    const DetectorSettings &settings = detector.settings;
    const Time last = std::exchange(detector.lastTickAt, now).value_or(now);
    if (now - last > settings.period * kMaxMissedPeriods) {
        detector.delayScore = std::min(detector.delayScore + 1, kMaxDelayScore);
        detector.probe.reset();
    }
    endSuspicions(detector, members, now);
    std::erase_if(detector.relays,
                  [now](const auto &entry) { return now - entry.second.sentAt > kRelayMemory; });
    if (detector.probe) {
        Detector::Probe &probe = *detector.probe;
        const bool isDirectTimeOver
            = now - probe.sentAt >= stretched(detector, settings.directTimeout);
        if (!probe.isAnswered && !probe.isIndirect && isDirectTimeOver) {
            probe.isIndirect = true;
            const auto target = members.byId.find(probe.target);
            std::vector<const Member *> helpers;
            const auto others = aliveOthers(members, probe.target);
            std::sample(others.begin(), others.end(), std::back_inserter(helpers),
                        settings.indirectProbes, random);
            for (const Member *helper : helpers) {
                if (target != members.byId.end())
                    messages.push_back({ProbeKind::Request, helper->report.peerAddress,
                                        probe.number, target->second.report.peerAddress});
            }
        }
        const Common::Duration period = probe.isAnswered ? Common::Duration(settings.period)
                                                         : stretched(detector, settings.period);
        if (now - probe.sentAt < period)
            return messages;
        concludeProbe(detector, members, now);
    }
    probeFailed(detector, members, random, messages);
    startNextProbe(detector, members, now, random, messages);
    return messages;
}

std::vector<ProbeMessage> probeNow(Detector &detector, const Members &members,
                                   const InstanceId &target, Time now)
{
    if (detector.probe && !detector.probe->isAnswered)
        return {};
    const auto message = startProbe(detector, members, target, now);
    return message ? std::vector<ProbeMessage>{*message} : std::vector<ProbeMessage>{};
}

std::vector<ProbeMessage> onProbeMessage(Detector &detector, const ProbeMessage &message,
                                         const Common::Address &from, Time now)
{
    switch (message.kind) {
    case ProbeKind::Probe:
        return {{ProbeKind::Answer, from, message.number, {}}};
    case ProbeKind::Request: {
        const std::uint64_t number = ++detector.lastNumber;
        detector.relays[number] = {from, message.number, now};
        return {{ProbeKind::Probe, message.subject, number, {}}};
    }
    case ProbeKind::Answer:
        break;
    }
    if (detector.probe && detector.probe->number == message.number) {
        detector.probe->isAnswered = true;
        return {};
    }
    const auto relay = detector.relays.find(message.number);
    if (relay == detector.relays.end())
        return {};
    const Detector::Relay found = relay->second;
    detector.relays.erase(relay);
    return {{ProbeKind::Answer, found.requester, found.requesterNumber, {}}};
}

Time nextTickAt(const Detector &detector, Time now)
{
    if (!detector.probe)
        return now + detector.settings.period;
    const Detector::Probe &probe = *detector.probe;
    if (probe.isAnswered)
        return probe.sentAt + detector.settings.period;
    return probe.sentAt
        + stretched(detector,
                    probe.isIndirect ? detector.settings.period : detector.settings.directTimeout);
}

bool shouldRaiseSequence(Detector &detector, const Members &members)
{
    std::size_t failed = 0;
    for (const auto &[id, member] : members.byId)
        failed += member.condition == Condition::Failed ? 1 : 0;
    const double share = static_cast<double>(failed)
        / static_cast<double>(std::max<std::size_t>(members.byId.size(), 1));
    const bool sawMany = std::exchange(detector.seesManyFailed, share > kManyFailedShare);
    return detector.seesManyFailed && !sawMany;
}

std::optional<Common::Address> peerToAsk(const Detector &detector, const Members &members,
                                         std::mt19937_64 &random)
{
    if (!detector.seesManyFailed)
        return std::nullopt;
    const auto others = aliveOthers(members, {});
    if (others.empty())
        return std::nullopt;
    return others[random() % others.size()]->report.peerAddress;
}

NewsEffect applyNews(Detector &detector, Members &members, const MemberNews &news, Time now)
{
    const NewsEffect effect = recordNews(members, news, now);
    // A cut ends: what is still to be said about the others beyond it has become doubtful.
    if (effect == NewsEffect::Returned && detector.seesManyFailed) {
        std::erase_if(detector.news.items,
                      [](const auto &item) { return item.value.condition != Condition::Alive; });
    }
    if (effect == NewsEffect::Changed || effect == NewsEffect::Returned)
        publish(detector.news, news.report.id, news);
    return effect;
}

void applyAllNews(Detector &detector, Members &members, const std::vector<MemberNews> &all,
                  Time now)
{
    for (const MemberNews &news : all) {
        // Whom the other instance does not reach, this one may reach: only its own probes, and news
        // of others' probes, tell. After a cut, both sides take each other for failed.
        const bool isKnown = members.byId.contains(news.report.id);
        if (news.condition != Condition::Alive && isKnown)
            continue;
        const NewsEffect effect = recordNews(members, news, now);
        const bool changed = effect == NewsEffect::Changed || effect == NewsEffect::Returned;
        // An older item about the instance would contradict it.
        if (changed)
            std::erase_if(detector.news.items,
                          [&news](const auto &item) { return item.key == news.report.id; });
    }
}

bool isDoubtCurrent(const MemberReport &own, const MemberReport &doubted)
{
    return doubted.incarnation == own.incarnation && doubted.sequence >= own.sequence;
}

void publishSelf(Detector &detector, const MemberReport &report)
{
    publish(detector.news, report.id, MemberNews{report, Condition::Alive});
}

void noteListed(Detector &detector, Members &members, const std::vector<MemberReport> &listed,
                Time now)
{
    std::set<InstanceId> listedIds;
    for (const MemberReport &report : listed) {
        listedIds.insert(report.id);
        const auto [entry, added] = members.byId.try_emplace(report.id);
        if (!added)
            continue;
        Member &member = entry->second;
        member.report = report;
        member.firstSeenAt = now;
        if (!detector.forgotten.contains(report.id))
            continue;
        member.condition = Condition::Failed;
        member.conditionSince = now;
    }
    std::erase_if(detector.forgotten,
                  [&](const InstanceId &id) { return !listedIds.contains(id); });
}

void noteStatedStart(Members &members, const MemberReport &own)
{
    const auto found = members.byId.find(own.id);
    if (found == members.byId.end() || own.id == members.self)
        return;
    Member &member = found->second;
    member.statesEarlierStart = member.lastReportAt && own.incarnation < member.report.incarnation;
}

std::optional<MemberNews> newsForSubject(const Members &members, const Common::Address &peer)
{
    for (const auto &[id, member] : members.byId) {
        const bool mustHear = member.condition != Condition::Alive || member.statesEarlierStart;
        if (mustHear && member.report.peerAddress == peer)
            return MemberNews{member.report, member.condition};
    }
    return std::nullopt;
}

std::vector<MemberNews> allNews(const Members &members)
{
    std::vector<MemberNews> all;
    for (const auto &[id, member] : members.byId) {
        if (member.lastReportAt || id == members.self)
            all.push_back({member.report, member.condition});
    }
    return all;
}

} // namespace Tanagerbay::Membership
