#include "UnitTests/Membership/DetectorSimulation.h"

namespace Tanagerbay::MembershipTests {

using namespace Membership;
using Common::Duration;
using Common::Milliseconds;

namespace {

// How long a connection and the transfer of all news take.
constexpr Milliseconds kTransferDelay{40};
constexpr Milliseconds kAskInterval{500};
constexpr Milliseconds kAskReturnedInterval{250};
constexpr std::size_t kNewsPerMessage = 12;
constexpr std::uint16_t kPort = 7700;
// Size of a datagram without news, with the headers of IP and UDP, and of one item of news, as the
// production codec writes them.
constexpr double kMessageBytes = 170;
constexpr double kNewsBytes = 100;

} // namespace

DetectorSimulation::DetectorSimulation(std::size_t count, std::uint64_t seed)
    : instances(count), random(seed)
{
    for (std::size_t i = 0; i < count; ++i) {
        this->ids.emplace_back("i" + std::to_string(i));
        this->indexByAddress[this->addressOf(i)] = i;
    }
    for (std::size_t i = 0; i < count; ++i) {
        this->instances[i].members.self = Common::InstanceId("i" + std::to_string(i));
        this->instances[i].members.unheardGrace = Milliseconds(1800);
        this->introduce(i, i);
        this->tickLater(i);
    }
}

MemberReport DetectorSimulation::ownReport(std::size_t index) const
{
    const Instance &instance = this->instances[index];
    MemberReport report;
    report.id = this->ids[index];
    report.peerAddress = this->addressOf(index);
    report.callerAddress = report.peerAddress;
    report.incarnation = instance.incarnation;
    report.sequence = instance.sequence;
    return report;
}

Common::Address DetectorSimulation::addressOf(std::size_t index) const
{
    return {"10.0." + std::to_string(index / 256) + "." + std::to_string(index % 256), kPort};
}

void DetectorSimulation::introduce(std::size_t index, std::size_t other)
{
    Member &member = this->instances[index].members.byId[this->ids[other]];
    member.report = this->ownReport(other);
    member.lastReportAt = this->now;
    member.firstSeenAt = this->now;
}

void DetectorSimulation::introduceAll()
{
    for (std::size_t i = 0; i < this->instances.size(); ++i) {
        for (std::size_t j = 0; j < this->instances.size(); ++j)
            this->introduce(i, j);
    }
}

void DetectorSimulation::list(const std::vector<std::size_t> &listed)
{
    std::vector<MemberReport> reports;
    for (const std::size_t index : listed) {
        MemberReport &report = reports.emplace_back();
        report.id = this->ids[index];
        report.peerAddress = this->addressOf(index);
        report.callerAddress = report.peerAddress;
    }
    for (Instance &instance : this->instances) {
        if (instance.isRunning)
            noteListed(instance.detector, instance.members, reports, this->now);
    }
}

void DetectorSimulation::schedule(Duration delay, std::function<void()> action)
{
    this->events.push({this->now + delay, ++this->lastEvent, std::move(action)});
}

void DetectorSimulation::runFor(Duration duration)
{
    const Common::Time end = this->now + duration;
    while (!this->events.empty() && this->events.top().at <= end) {
        const Event event = this->events.top();
        this->events.pop();
        this->now = event.at;
        event.action();
    }
    this->now = end;
}

void DetectorSimulation::tickLater(std::size_t index)
{
    const Common::Time at = nextTickAt(this->instances[index].detector, this->now);
    const Milliseconds jitter(this->random() % 5 + 1);
    this->schedule(std::max<Duration>(at - this->now, {}) + jitter, [this, index] {
        Instance &instance = this->instances[index];
        if (instance.isRunning && !instance.isFrozen) {
            this->sendAll(index,
                          tick(instance.detector, instance.members, this->now, this->random));
            if (shouldRaiseSequence(instance.detector, instance.members))
                this->raiseSequence(index, instance.sequence);
            if (const auto peer = peerToAsk(instance.detector, instance.members, this->random))
                this->askForAll(index, this->indexByAddress.at(*peer), kAskInterval);
        }
        this->tickLater(index);
    });
}

void DetectorSimulation::raiseSequence(std::size_t index, std::uint64_t above)
{
    this->instances[index].sequence = above + 1;
    this->introduce(index, index);
    publishSelf(this->instances[index].detector, this->ownReport(index));
}

void DetectorSimulation::askForAll(std::size_t index, std::size_t other, Duration interval)
{
    Instance &asker = this->instances[index];
    if (asker.askedForAllAt && this->now - *asker.askedForAllAt < interval)
        return;
    asker.askedForAllAt = this->now;
    this->schedule(kTransferDelay, [this, index, other] {
        Instance &receiver = this->instances[index];
        const Instance &sender = this->instances[other];
        const bool canTalk = receiver.isRunning && !receiver.isFrozen && sender.isRunning
            && !sender.isFrozen && (!this->network.mayPass || this->network.mayPass(other, index));
        if (canTalk)
            applyAllNews(receiver.detector, receiver.members, allNews(sender.members), this->now);
    });
}

void DetectorSimulation::sendAll(std::size_t from, const std::vector<ProbeMessage> &messages)
{
    Instance &sender = this->instances[from];
    for (const ProbeMessage &message : messages) {
        Datagram datagram{message, {}};
        datagram.news.push_back({this->ownReport(from), Condition::Alive});
        if (const auto news = newsForSubject(sender.members, message.to))
            datagram.news.push_back(*news);
        const std::uint32_t repeats = newsRepeats(sender.members.byId.size());
        for (MemberNews &news : takeNews(sender.detector.news, kNewsPerMessage, repeats))
            datagram.news.push_back(std::move(news));
        this->bytesSent
            += kMessageBytes + kNewsBytes * static_cast<double>(datagram.news.size() - 1);
        this->deliver(from, this->indexByAddress.at(message.to), datagram);
    }
}

void DetectorSimulation::deliver(std::size_t from, std::size_t to, const Datagram &datagram)
{
    std::uniform_real_distribution<double> draw(0, 1);
    if (draw(this->random) < this->network.lossRate)
        return;
    if (this->network.mayPass && !this->network.mayPass(from, to))
        return;
    const auto span
        = static_cast<std::uint64_t>((this->network.maxDelay - this->network.minDelay).count() + 1);
    const Milliseconds delay = this->network.minDelay + Milliseconds(this->random() % span)
        + this->instances[to].slowness;
    this->schedule(delay, [this, from, to, datagram] {
        Instance &receiver = this->instances[to];
        if (receiver.isFrozen)
            receiver.waiting.push_back(
                [this, from, to, datagram] { this->receive(from, to, datagram); });
        else if (receiver.isRunning)
            this->receive(from, to, datagram);
    });
}

void DetectorSimulation::receive(std::size_t from, std::size_t to, const Datagram &datagram)
{
    Instance &instance = this->instances[to];
    for (const MemberNews &news : datagram.news) {
        const NewsEffect effect = applyNews(instance.detector, instance.members, news, this->now);
        if (effect == NewsEffect::AboutSelf)
            this->raiseIncarnation(to, news.report.incarnation);
        if (news.report.id == this->ids[from])
            noteStatedStart(instance.members, news.report);
        const bool isDoubted
            = effect == NewsEffect::AboutSelf && news.condition != Condition::Alive;
        if (isDoubted) {
            const bool isCurrent = isDoubtCurrent(this->ownReport(to), news.report);
            this->raiseSequence(to, isCurrent ? news.report.sequence : instance.sequence - 1);
        }
        if (effect == NewsEffect::Returned && news.report.id == this->ids[from])
            this->askForAll(to, from, kAskReturnedInterval);
    }
    this->sendAll(
        to, onProbeMessage(instance.detector, datagram.message, this->addressOf(from), this->now));
}

void DetectorSimulation::kill(std::size_t index)
{
    this->instances[index].isRunning = false;
    this->instances[index].waiting.clear();
}

void DetectorSimulation::raiseIncarnation(std::size_t index, std::uint64_t reported)
{
    Instance &instance = this->instances[index];
    const std::uint64_t raised = incarnationAfter(instance.incarnation, reported);
    if (raised == instance.incarnation)
        return;
    instance.incarnation = raised;
    this->raiseSequence(index, instance.sequence);
}

void DetectorSimulation::restart(std::size_t index, std::int64_t clockStep)
{
    Instance fresh;
    fresh.members.self = this->instances[index].members.self;
    fresh.members.unheardGrace = this->instances[index].members.unheardGrace;
    fresh.incarnation
        = this->instances[index].incarnation + 1 + static_cast<std::uint64_t>(clockStep);
    this->instances[index] = std::move(fresh);
    this->raiseSequence(index, 0);
}

void DetectorSimulation::freeze(std::size_t index)
{
    this->instances[index].isFrozen = true;
}

void DetectorSimulation::wake(std::size_t index)
{
    this->instances[index].isFrozen = false;
    for (const auto &action : std::exchange(this->instances[index].waiting, {}))
        action();
}

void DetectorSimulation::setSlowness(std::size_t index, Milliseconds delay)
{
    this->instances[index].slowness = delay;
}

bool DetectorSimulation::believesAlive(std::size_t observer, std::size_t subject) const
{
    const Members &members = this->instances[observer].members;
    const auto found = members.byId.find(this->ids[subject]);
    return found != members.byId.end() && !isSuspect(members, found->second, this->now);
}

std::size_t DetectorSimulation::believers(std::size_t subject) const
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < this->instances.size(); ++i) {
        const Instance &observer = this->instances[i];
        const bool counts = i != subject && observer.isRunning && !observer.isFrozen;
        count += counts && this->believesAlive(i, subject) ? 1 : 0;
    }
    return count;
}

std::size_t DetectorSimulation::hearers(std::size_t subject) const
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < this->instances.size(); ++i) {
        const Instance &observer = this->instances[i];
        const auto found = observer.members.byId.find(this->ids[subject]);
        const bool hears = found != observer.members.byId.end()
            && found->second.report.incarnation == this->instances[subject].incarnation;
        count += i != subject && observer.isRunning && hears ? 1 : 0;
    }
    return count;
}

std::size_t DetectorSimulation::liveCount() const
{
    std::size_t count = 0;
    for (const Instance &instance : this->instances)
        count += instance.isRunning && !instance.isFrozen ? 1 : 0;
    return count;
}

std::size_t DetectorSimulation::falseSuspicions() const
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < this->instances.size(); ++i) {
        const Instance &subject = this->instances[i];
        if (subject.isRunning && !subject.isFrozen)
            count += this->liveCount() - 1 - this->believers(i);
    }
    return count;
}

double DetectorSimulation::bytesPerSecond() const
{
    return this->bytesSent / Common::toSeconds(this->now - this->startedAt)
        / static_cast<double>(this->instances.size());
}

} // namespace Tanagerbay::MembershipTests
