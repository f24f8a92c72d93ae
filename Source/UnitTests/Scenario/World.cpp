#include "UnitTests/Scenario/World.h"

#include <algorithm>

namespace Tanagerbay::Scenario {

namespace {

constexpr std::size_t kTraceLines = 60;
constexpr Milliseconds kProbePeriod{100};

std::string nameOfInstance(int instance)
{
    return "i" + std::to_string(instance);
}

} // namespace

World::World(std::uint64_t seed, int instanceCount) : time(this->start), random(seed)
{
    this->engines = {{true, 0, ""}, {false, 0, ""}};
    for (int i = 0; i <= instanceCount; ++i) {
        this->instances.emplace_back();
        this->instances.back().id = nameOfInstance(i);
    }
    // Instances are counted from 1; the first place is unused.
    this->instances[0].alive = false;
    for (int i = 1; i <= instanceCount; ++i)
        this->startInstance(i);
    this->after(kProbePeriod, [this] { this->probe(); });
}

void World::note(std::string line)
{
    const auto since = Common::toMilliseconds(this->time - this->start);
    this->lines.push_back(std::to_string(since) + "ms " + std::move(line));
    if (this->lines.size() > kTraceLines)
        this->lines.pop_front();
}

void World::violate(std::string line)
{
    this->note("BROKEN " + line);
    this->violations.push_back(std::move(line));
}

std::string World::trace() const
{
    std::string text;
    for (const std::string &line : this->lines)
        text += "  " + line + "\n";
    return text;
}

Milliseconds World::jitter(int most)
{
    return Milliseconds(1 + this->random() % most);
}

void World::after(Milliseconds delay, std::function<void()> action)
{
    this->events.push({this->time + delay, this->nextNumber++, std::move(action)});
}

void World::at(Milliseconds since, std::function<void()> action)
{
    this->events.push({this->start + since, this->nextNumber++, std::move(action)});
}

void World::runUntil(Milliseconds since)
{
    const Time end = this->start + since;
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
    const StoreFault fault = this->time < this->faultUntil ? this->fault : StoreFault::None;
    const bool cut = this->time < this->instances[instance].storeCutUntil;
    if (fault == StoreFault::Down && !cut) {
        this->onInstance(instance, jitter(3), [reply] { reply(CommitState::NotApplied, 0); });
        return;
    }
    const bool lands = !cut && fault != StoreFault::BlackHole;
    const bool answered = lands && fault == StoreFault::None;
    const Milliseconds delay
        = fault == StoreFault::LandLate ? Milliseconds(600 + this->random() % 4000) : jitter(5);
    if (lands) {
        // The write is on its way whatever becomes of its sender.
        this->after(delay, [this, instance, checks, puts, reply, answered] {
            std::uint64_t version = 0;
            const CommitState state = this->applyCommit(checks, puts, version);
            if (answered)
                this->onInstance(instance, jitter(3),
                                 [reply, state, version] { reply(state, version); });
        });
    }
    if (!answered)
        this->onInstance(instance, kStoreTimeout, [reply] { reply(CommitState::Unknown, 0); });
}

void World::read(int instance, std::vector<std::string> keys, ReadReply reply)
{
    const StoreFault fault = this->time < this->faultUntil ? this->fault : StoreFault::None;
    const bool cut = this->time < this->instances[instance].storeCutUntil;
    const bool fails = cut || fault == StoreFault::Down || fault == StoreFault::BlackHole;
    // While replies are lost, a read may go through: each is a call of its own.
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
    Instance &fresh = this->instances[instance];
    const std::string id = fresh.id;
    const int epoch = fresh.epoch + 1;
    const Time storeCut = fresh.storeCutUntil;
    const Time peersCut = fresh.peersCutUntil;
    fresh = Instance{};
    fresh.id = id;
    fresh.epoch = epoch;
    fresh.storeCutUntil = storeCut;
    fresh.peersCutUntil = peersCut;
    // It announces itself before it reads the lists.
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
        this->violate(target.id + " reverted a list from " + std::to_string(before) + " to "
                      + std::to_string(after));
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
    this->onInstance(instance, kPollPeriod + jitter(300),
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
    this->onInstance(instance, kHeartbeatPeriod,
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
    // The answer confirms the sender as of when it sent, unless it lags behind.
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
        && this->time - target.lastConfirmed <= kCutOffAfter;
}

std::vector<Common::InstanceId> World::acceptanceSet() const
{
    std::vector<Common::InstanceId> ids;
    for (std::size_t i = 1; i < this->instances.size(); ++i) {
        const Instance &entry = this->instances[i];
        const bool answers = entry.alive && this->time >= entry.pausedUntil;
        if (answers || this->time - entry.deadSince < kPlatformDropAfter)
            ids.emplace_back(entry.id);
    }
    return ids;
}

// Once an edit is told to be in force, no instance may serve with an older list.
void World::probe()
{
    for (std::size_t i = 1; i < this->instances.size(); ++i) {
        if (this->serves(static_cast<int>(i))
            && !this->instances[i].lists->versions().isAtLeast(this->accepted))
            this->violate(this->instances[i].id + " serves with a list older than accepted");
    }
    this->after(kProbePeriod, [this] { this->probe(); });
}

void World::kill(int instance)
{
    this->note("kill " + this->instances[instance].id);
    this->instances[instance].alive = false;
    this->everKilled.insert(this->instances[instance].id);
    this->instances[instance].deadSince = this->time;
}

void World::restart(int instance)
{
    this->note("restart " + this->instances[instance].id);
    this->startInstance(instance);
}

void World::pause(int instance, Milliseconds period)
{
    this->note("pause " + this->instances[instance].id + " for " + std::to_string(period.count()));
    this->instances[instance].pausedUntil = this->time + period;
    this->instances[instance].deadSince = this->time;
}

void World::cutStore(int instance, Milliseconds period)
{
    this->note("cut " + this->instances[instance].id + " from the store");
    this->instances[instance].storeCutUntil = this->time + period;
}

void World::cutPeers(int instance, Milliseconds period)
{
    this->note("cut " + this->instances[instance].id + " from its peers");
    this->instances[instance].peersCutUntil = this->time + period;
}

void World::storeFault(StoreFault kind, Milliseconds period)
{
    this->note("store fault " + std::to_string(static_cast<int>(kind)));
    this->fault = kind;
    this->faultUntil = this->time + period;
}

void World::serviceFault(ServiceFault kind, Milliseconds period)
{
    this->note("service fault " + std::to_string(static_cast<int>(kind)));
    this->servicefault = kind;
    this->serviceFaultUntil = this->time + period;
}

void World::heal()
{
    this->note("heal");
    this->faultUntil = this->time;
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
    const auto found = this->runsByKey.find(key);
    return found == this->runsByKey.end() ? 0 : found->second;
}

std::vector<CallAnswer> World::answers(const std::string &key) const
{
    const auto found = this->answersByKey.find(key);
    return found == this->answersByKey.end() ? std::vector<CallAnswer>() : found->second;
}

bool World::diedSince(const std::string &key) const
{
    for (const CallAnswer &answer : this->answers(key)) {
        if (this->everKilled.contains(answer.instance))
            return true;
    }
    return false;
}

std::vector<std::string> World::keysNotRun() const
{
    std::vector<std::string> keys;
    for (const auto &[key, answers] : this->answersByKey) {
        const bool onlyNo
            = std::all_of(answers.begin(), answers.end(), [](const CallAnswer &answer) {
                  return answer.kind == CallAnswer::Kind::No;
              });
        if (onlyNo)
            keys.push_back(key);
    }
    return keys;
}

EditAnswer World::editAnswer(const std::string &name) const
{
    const auto found = this->editAnswers.find(name);
    return found == this->editAnswers.end() ? EditAnswer::Pending : found->second;
}

std::uint64_t World::version(int instance, Lists::ListKind kind) const
{
    return this->instances[instance].lists->document(kind).version;
}

void World::checkAtRest()
{
    for (const auto &[key, count] : this->runsByKey) {
        if (count > 1)
            this->violate(key + " ran " + std::to_string(count) + " times");
    }
    for (const auto &[key, answers] : this->answersByKey) {
        bool toldRan = false;
        bool onlyNo = !answers.empty();
        for (const CallAnswer &answer : answers) {
            toldRan = toldRan || answer.kind == CallAnswer::Kind::Yes;
            onlyNo = onlyNo && answer.kind == CallAnswer::Kind::No;
        }
        if (toldRan && this->runs(key) == 0)
            this->violate(key + " was said to have run and did not");
        if (onlyNo && this->runs(key) > 0)
            this->violate(key + " was said not to have run and did");
    }
    if (this->alertsRun > kAllowance)
        this->violate("the allowance was passed: " + std::to_string(this->alertsRun));
    for (std::size_t i = 1; i < this->instances.size(); ++i) {
        if (!this->serves(static_cast<int>(i)))
            this->violate(this->instances[i].id + " does not serve after all faults are over");
        if (this->instances[i].lists->versions() != this->instances[1].lists->versions())
            this->violate(this->instances[i].id + " has other lists than i1");
    }
    const std::vector<std::string> holders = this->leaseHolders();
    if (holders.size() != 1)
        this->violate(std::to_string(holders.size()) + " lease holders at rest");
    for (const EngineState &engine : this->engines) {
        if (holders.size() == 1 && engine.orderedBy != holders.front())
            this->violate("an engine's last order is not the holder's");
    }
}

} // namespace Tanagerbay::Scenario
