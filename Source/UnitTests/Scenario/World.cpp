#include "UnitTests/Scenario/World.h"

#include <algorithm>

namespace Tanagerbay::Scenario {

namespace {

constexpr std::size_t kMaxTraceLines = 60;
constexpr Milliseconds kVersionCheckInterval{100};

std::string instanceName(int instance)
{
    return "i" + std::to_string(instance);
}

} // namespace

World::World(std::uint64_t seed, int instanceCount) : time(this->start), random(seed)
{
    this->engines = {{true, 0, ""}, {false, 0, ""}};
    for (int i = 0; i <= instanceCount; ++i) {
        this->instances.emplace_back();
        this->instances.back().id = instanceName(i);
    }
    // Instances are numbered from 1; index 0 is unused.
    this->instances[0].alive = false;
    for (int i = 1; i <= instanceCount; ++i)
        this->startInstance(i);
    this->after(kVersionCheckInterval, [this] { this->checkServedVersions(); });
}

void World::recordEvent(std::string line)
{
    const auto offset = Common::toMilliseconds(this->time - this->start);
    this->traceLines.push_back(std::to_string(offset) + "ms " + std::move(line));
    if (this->traceLines.size() > kMaxTraceLines)
        this->traceLines.pop_front();
}

void World::reportViolation(std::string line)
{
    this->recordEvent("VIOLATION " + line);
    this->foundViolations.push_back(std::move(line));
}

std::string World::trace() const
{
    std::string text;
    for (const std::string &line : this->traceLines)
        text += "  " + line + "\n";
    return text;
}

Milliseconds World::jitter(int maxMs)
{
    return Milliseconds(1 + this->random() % maxMs);
}

void World::after(Milliseconds delay, std::function<void()> action)
{
    this->events.push({this->time + delay, this->nextEventNumber++, std::move(action)});
}

void World::at(Milliseconds offset, std::function<void()> action)
{
    this->events.push({this->start + offset, this->nextEventNumber++, std::move(action)});
}

void World::runUntil(Milliseconds offset)
{
    const Time end = this->start + offset;
    while (!this->events.empty() && this->events.top().at <= end) {
        const Event event = this->events.top();
        this->events.pop();
        this->time = std::max(this->time, event.at);
        event.action();
    }
    this->time = end;
}

void World::onInstance(int instance, Milliseconds delay, std::function<void()> action)
{
    const int epoch = this->instances[instance].epoch;
    this->after(delay, [this, instance, epoch, action = std::move(action)] {
        Instance &target = this->instances[instance];
        if (!target.alive || target.epoch != epoch)
            return;
        if (this->time < target.pausedUntil) {
            const auto left = std::chrono::ceil<Milliseconds>(target.pausedUntil - this->time);
            this->onInstance(instance, left, action);
            return;
        }
        action();
    });
}

World::CommitState World::applyCommit(const std::vector<Check> &checks,
                                      const std::vector<Put> &puts, std::uint64_t &version)
{
    for (const Check &check : checks) {
        if (this->rows[check.key].version != check.version)
            return CommitState::Conflict;
    }
    for (const Put &put : puts) {
        StoredRow &row = this->rows[put.key];
        row.body = put.body;
        version = ++row.version;
    }
    return CommitState::Committed;
}

void World::commit(int instance, std::vector<Check> checks, std::vector<Put> puts,
                   CommitReply reply)
{
    const StoreFault fault
        = this->time < this->storeFaultUntil ? this->currentStoreFault : StoreFault::None;
    const bool cut = this->time < this->instances[instance].storeCutUntil;
    if (fault == StoreFault::Down && !cut) {
        this->onInstance(instance, jitter(3), [reply] { reply(CommitState::NotApplied, 0); });
        return;
    }
    const bool isApplied = !cut && fault != StoreFault::BlackHole;
    const bool isAnswered = isApplied && fault == StoreFault::None;
    const Milliseconds delay
        = fault == StoreFault::ApplyLate ? Milliseconds(600 + this->random() % 4000) : jitter(5);
    if (isApplied) {
        // A write that was sent is applied even if its sender is paused or killed.
        this->after(delay, [this, instance, checks, puts, reply, isAnswered] {
            std::uint64_t version = 0;
            const CommitState state = this->applyCommit(checks, puts, version);
            if (isAnswered)
                this->onInstance(instance, jitter(3),
                                 [reply, state, version] { reply(state, version); });
        });
    }
    if (!isAnswered)
        this->onInstance(instance, kStoreTimeout, [reply] { reply(CommitState::Unknown, 0); });
}

void World::read(int instance, std::vector<std::string> keys, ReadReply reply)
{
    const StoreFault fault
        = this->time < this->storeFaultUntil ? this->currentStoreFault : StoreFault::None;
    const bool cut = this->time < this->instances[instance].storeCutUntil;
    const bool fails = cut || fault == StoreFault::Down || fault == StoreFault::BlackHole;
    // While replies are lost, each read fails independently with probability 1/2.
    const bool lost = fault == StoreFault::LoseReplies && this->random() % 2 == 0;
    if (fails || lost) {
        this->onInstance(instance, kStoreTimeout, [reply] { reply(nullptr); });
        return;
    }
    this->after(jitter(5), [this, instance, keys, reply] {
        std::vector<StoredRow> found;
        for (const std::string &key : keys)
            found.push_back(this->rows[key]);
        this->onInstance(instance, jitter(3), [reply, found] { reply(&found); });
    });
}

bool World::connected(int left, int right) const
{
    return this->time >= this->instances[left].peersCutUntil
        && this->time >= this->instances[right].peersCutUntil;
}

void World::startInstance(int instance)
{
    Instance &target = this->instances[instance];
    const std::string id = target.id;
    const int epoch = target.epoch + 1;
    const Time storeCut = target.storeCutUntil;
    const Time peersCut = target.peersCutUntil;
    target = Instance{};
    target.id = id;
    target.epoch = epoch;
    target.storeCutUntil = storeCut;
    target.peersCutUntil = peersCut;
    // The instance sends its first heartbeat before it reads the lists.
    this->onInstance(instance, Milliseconds(1),
                     [this, instance] { this->heartbeatLoop(instance); });
    this->onInstance(instance, Milliseconds(20), [this, instance] { this->pollLoop(instance); });
    this->onInstance(instance, jitter(1000), [this, instance] { this->leaseLoop(instance); });
}

void World::applyList(int instance, Lists::ListKind kind, const Lists::Document &document)
{
    Instance &target = this->instances[instance];
    const std::uint64_t before = target.lists->document(kind).version;
    target.lists = Lists::applyDocument(target.lists, kind, document).snapshot;
    const std::uint64_t after = target.lists->document(kind).version;
    if (after < before)
        this->reportViolation(target.id + " reverted a list from version " + std::to_string(before)
                              + " to " + std::to_string(after));
}

void World::poll(int instance, std::function<void(bool)> done)
{
    const Time askedAt = this->time;
    this->read(instance, {"plans", "entitlements"},
               [this, instance, askedAt, done](const std::vector<StoredRow> *found) {
                   Instance &target = this->instances[instance];
                   if (!found)
                       return done(false);
                   const auto apply = [&](Lists::ListKind kind, const StoredRow &row) {
                       const std::size_t bar = row.body.find('|');
                       if (row.version > 0)
                           this->applyList(
                               instance, kind,
                               {row.version, row.body.substr(0, bar), row.body.substr(bar + 1)});
                   };
                   apply(Lists::ListKind::Plans, (*found)[0]);
                   apply(Lists::ListKind::Entitlements, (*found)[1]);
                   target.started = true;
                   target.lastConfirmed = std::max(target.lastConfirmed, askedAt);
                   done(true);
               });
}

void World::pollLoop(int instance)
{
    this->poll(instance, [](bool) {});
    this->onInstance(instance, kListPollInterval + jitter(300),
                     [this, instance] { this->pollLoop(instance); });
}

void World::heartbeatLoop(int instance)
{
    const Time sentAt = this->time;
    for (int other = 1; other < static_cast<int>(this->instances.size()); ++other) {
        const bool lost = this->random() % 50 == 0;
        if (other == instance || lost || !this->connected(instance, other))
            continue;
        this->onInstance(other, jitter(5), [this, instance, other, sentAt] {
            this->deliverHeartbeat(instance, other, sentAt);
        });
    }
    this->onInstance(instance, kHeartbeatInterval,
                     [this, instance] { this->heartbeatLoop(instance); });
}

void World::deliverHeartbeat(int from, int to, Time sentAt)
{
    Instance &sender = this->instances[from];
    Instance &receiver = this->instances[to];
    const Lists::Versions versions = sender.lists->versions();
    receiver.reports[sender.id] = {Common::InstanceId(sender.id), versions};
    if (!receiver.lists->versions().isAtLeast(versions) && this->connected(from, to)) {
        for (const auto &[kind, name] : Common::EnumNames<Lists::ListKind>::table) {
            if (sender.lists->document(kind).version > 0)
                this->applyList(to, kind, sender.lists->document(kind));
        }
        receiver.started = true;
    }
    // The reply confirms the sender's lists as of the time of its heartbeat, unless the receiver
    // has newer versions.
    if (!this->connected(from, to))
        return;
    const Lists::Versions receiverVersions = receiver.lists->versions();
    this->onInstance(from, jitter(5), [this, from, to, sentAt, receiverVersions] {
        Instance &target = this->instances[from];
        target.reports[this->instances[to].id]
            = {Common::InstanceId(this->instances[to].id), receiverVersions};
        if (target.lists->versions().isAtLeast(receiverVersions))
            target.lastConfirmed = std::max(target.lastConfirmed, sentAt);
    });
}

bool World::serves(int instance) const
{
    const Instance &target = this->instances[instance];
    return target.alive && target.started && this->time >= target.pausedUntil
        && this->time - target.lastConfirmed <= kCutOffTimeout;
}

std::vector<Common::InstanceId> World::acceptanceSet() const
{
    std::vector<Common::InstanceId> ids;
    for (std::size_t i = 1; i < this->instances.size(); ++i) {
        const Instance &entry = this->instances[i];
        const bool answers = entry.alive && this->time >= entry.pausedUntil;
        if (answers || this->time - entry.unresponsiveSince < kPlatformRemovalDelay)
            ids.emplace_back(entry.id);
    }
    return ids;
}

// Once an edit has been reported as in force, no instance may serve with an older list.
void World::checkServedVersions()
{
    for (std::size_t i = 1; i < this->instances.size(); ++i) {
        if (this->serves(static_cast<int>(i))
            && !this->instances[i].lists->versions().isAtLeast(this->acceptedVersions))
            this->reportViolation(this->instances[i].id
                                  + " serves with a list older than the one reported as in force");
    }
    this->after(kVersionCheckInterval, [this] { this->checkServedVersions(); });
}

void World::kill(int instance)
{
    this->recordEvent("kill " + this->instances[instance].id);
    this->instances[instance].alive = false;
    this->killedInstances.insert(this->instances[instance].id);
    this->instances[instance].unresponsiveSince = this->time;
}

void World::restart(int instance)
{
    this->recordEvent("restart " + this->instances[instance].id);
    this->startInstance(instance);
}

void World::pause(int instance, Milliseconds period)
{
    this->recordEvent("pause " + this->instances[instance].id + " for "
                      + std::to_string(period.count()));
    this->instances[instance].pausedUntil = this->time + period;
    this->instances[instance].unresponsiveSince = this->time;
}

void World::cutStore(int instance, Milliseconds period)
{
    this->recordEvent("cut " + this->instances[instance].id + " from the store");
    this->instances[instance].storeCutUntil = this->time + period;
}

void World::cutPeers(int instance, Milliseconds period)
{
    this->recordEvent("cut " + this->instances[instance].id + " from its peers");
    this->instances[instance].peersCutUntil = this->time + period;
}

void World::storeFault(StoreFault kind, Milliseconds period)
{
    this->recordEvent("store fault " + std::to_string(static_cast<int>(kind)));
    this->currentStoreFault = kind;
    this->storeFaultUntil = this->time + period;
}

void World::serviceFault(ServiceFault kind, Milliseconds period)
{
    this->recordEvent("service fault " + std::to_string(static_cast<int>(kind)));
    this->currentServiceFault = kind;
    this->serviceFaultUntil = this->time + period;
}

void World::heal()
{
    this->recordEvent("heal");
    this->storeFaultUntil = this->time;
    this->serviceFaultUntil = this->time;
    for (std::size_t i = 1; i < this->instances.size(); ++i) {
        this->instances[i].storeCutUntil = this->time;
        this->instances[i].peersCutUntil = this->time;
        if (!this->instances[i].alive)
            this->restart(static_cast<int>(i));
    }
}

int World::runs(const std::string &key) const
{
    const auto found = this->runCounts.find(key);
    return found == this->runCounts.end() ? 0 : found->second;
}

std::vector<CallAnswer> World::answers(const std::string &key) const
{
    const auto found = this->answersByKey.find(key);
    return found == this->answersByKey.end() ? std::vector<CallAnswer>() : found->second;
}

bool World::wasAnswererKilled(const std::string &key) const
{
    for (const CallAnswer &answer : this->answers(key)) {
        if (this->killedInstances.contains(answer.instance))
            return true;
    }
    return false;
}

std::vector<std::string> World::keysReportedNotRun() const
{
    std::vector<std::string> keys;
    for (const auto &[key, answers] : this->answersByKey) {
        const bool allNotRun
            = std::all_of(answers.begin(), answers.end(), [](const CallAnswer &answer) {
                  return answer.kind == CallAnswer::Kind::No;
              });
        if (allNotRun)
            keys.push_back(key);
    }
    return keys;
}

EditOutcome World::editOutcome(const std::string &name) const
{
    const auto found = this->editOutcomes.find(name);
    return found == this->editOutcomes.end() ? EditOutcome::Pending : found->second;
}

std::uint64_t World::version(int instance, Lists::ListKind kind) const
{
    return this->instances[instance].lists->document(kind).version;
}

void World::checkFinalState()
{
    for (const auto &[key, count] : this->runCounts) {
        if (count > 1)
            this->reportViolation(key + " ran " + std::to_string(count) + " times");
    }
    for (const auto &[key, answers] : this->answersByKey) {
        bool reportedRan = false;
        bool allNotRun = !answers.empty();
        for (const CallAnswer &answer : answers) {
            reportedRan = reportedRan || answer.kind == CallAnswer::Kind::Yes;
            allNotRun = allNotRun && answer.kind == CallAnswer::Kind::No;
        }
        if (reportedRan && this->runs(key) == 0)
            this->reportViolation(key + " was reported as run but did not run");
        if (allNotRun && this->runs(key) > 0)
            this->reportViolation(key + " was reported as not run but ran");
    }
    if (this->unitsSpent > kAllowanceLimit)
        this->reportViolation("allowance exceeded; units spent: "
                              + std::to_string(this->unitsSpent));
    for (std::size_t i = 1; i < this->instances.size(); ++i) {
        if (!this->serves(static_cast<int>(i)))
            this->reportViolation(this->instances[i].id
                                  + " does not serve after all faults have ended");
        if (this->instances[i].lists->versions() != this->instances[1].lists->versions())
            this->reportViolation(this->instances[i].id + " has other list versions than i1");
    }
    const std::vector<std::string> holders = this->leaseHolders();
    if (holders.size() != 1)
        this->reportViolation(std::to_string(holders.size())
                              + " lease holders after all faults have ended instead of one");
    for (const EngineState &engine : this->engines) {
        if (holders.size() == 1 && engine.lastCommandFrom != holders.front())
            this->reportViolation(
                "the last command of an engine did not come from the lease holder");
    }
}

} // namespace Tanagerbay::Scenario
