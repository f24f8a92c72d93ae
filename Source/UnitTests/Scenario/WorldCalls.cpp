// The calls of a scenario's callers and operators: once-only calls, edits and allowances.
#include "UnitTests/Scenario/World.h"

#include "Common/Hash.h"

namespace Tanagerbay::Scenario {

namespace {

constexpr std::uint32_t kMostStoreFailures = 2;
constexpr int kMostEndpoints = 3;
constexpr int kMostOutcomeTries = 20;
constexpr int kMostVoidTries = 200;
constexpr int kMostSpendTries = 40;

std::string ledgerKey(const std::string &key)
{
    return "once/" + key;
}

std::string bodyOfList(Lists::ListKind kind, std::uint64_t version)
{
    if (kind == Lists::ListKind::Entitlements)
        return R"({"entitlements":[{"plan":"p","pipelines":["ask"]}]})";
    return R"({"plans":[{"name":"p","deadlineMs":)" + std::to_string(1000 + version)
        + R"(,"priority":"patient","concurrency":1,"ratePerSecond":1}],"workspaces":[]})";
}

} // namespace

struct World::Call
{
    std::string key;
    int instance = 0;
    Once::Attempt attempt;
    Once::LedgerRow claimed;
    Once::StoredRow stored;
    std::uint32_t storeFailures = 0;
    bool claimMayLand = false;
};

void World::call(const std::string &key, const std::string &body, int instance)
{
    auto call = std::make_shared<Call>();
    call->key = key;
    call->instance = instance;
    if (!this->instances[instance].alive)
        return;
    this->onInstance(instance, Milliseconds(0), [this, call, body] {
        if (!this->serves(call->instance)) {
            this->answerCall(call, CallAnswer::Kind::No);
            return;
        }
        call->attempt.id = Common::AttemptId("a" + std::to_string(++this->nextAttempt));
        call->attempt.requestDigest = Common::digestOf(body);
        call->attempt.sendDeadline = this->time + kClaimTimeout;
        call->claimed.attempt = call->attempt.id;
        call->claimed.requestDigest = call->attempt.requestDigest;
        this->claimCall(call);
    });
}

void World::claimCall(std::shared_ptr<Call> call)
{
    this->commit(
        call->instance, {{ledgerKey(call->key), call->stored.version}},
        {{ledgerKey(call->key), Once::encodeRow(call->claimed)}},
        [this, call](CommitState state, std::uint64_t version) {
            using Reply = Once::ClaimReply;
            if (state == CommitState::Committed) {
                call->claimMayLand = true;
                call->stored = {version, call->claimed};
                return this->stepCall(
                    call, Once::stepAfterClaimReply(Reply::Committed, call->attempt, this->time));
            }
            if (state == CommitState::Conflict)
                return this->stepCall(
                    call, Once::stepAfterClaimReply(Reply::Conflict, call->attempt, this->time));
            ++call->storeFailures;
            if (state == CommitState::NotApplied)
                return this->stepCall(call, Once::ClaimStep::WriteClaim);
            call->claimMayLand = true;
            this->stepCall(call, Once::stepAfterClaimReply(Reply::Lost, call->attempt, this->time));
        });
}

void World::readCall(std::shared_ptr<Call> call)
{
    this->read(
        call->instance, {ledgerKey(call->key)}, [this, call](const std::vector<StoredRow> *found) {
            if (!found) {
                ++call->storeFailures;
                return this->stepCall(call,
                                      Once::stepAfterRead(nullptr, call->attempt, this->time));
            }
            const StoredRow &row = found->front();
            call->stored = {};
            if (row.version > 0)
                call->stored = {row.version, Once::decodeRow(row.body).value()};
            this->stepCall(call, Once::stepAfterRead(&call->stored, call->attempt, this->time));
        });
}

void World::stepCall(std::shared_ptr<Call> call, Once::ClaimStep step)
{
    const bool asksStore = step == Once::ClaimStep::WriteClaim || step == Once::ClaimStep::ReadBack;
    if (asksStore && call->storeFailures >= kMostStoreFailures)
        step = Once::ClaimStep::GiveUp;
    switch (step) {
    case Once::ClaimStep::WriteClaim:
        return this->claimCall(call);
    case Once::ClaimStep::ReadBack:
        return this->readCall(call);
    case Once::ClaimStep::Send:
        return this->sendCall(call, 0);
    case Once::ClaimStep::Replay:
        return this->answerCall(call, CallAnswer::Kind::Yes);
    case Once::ClaimStep::RefuseHeld:
        return this->answerCall(call, CallAnswer::Kind::Maybe);
    case Once::ClaimStep::RefuseReused:
        return this->note("key reused: " + call->key);
    case Once::ClaimStep::GiveUp:
        break;
    }
    if (call->claimMayLand)
        this->voidCall(call, 0);
    this->answerCall(call, CallAnswer::Kind::No);
}

void World::sendCall(std::shared_ptr<Call> call, int tries)
{
    const ServiceFault fault
        = this->time < this->serviceFaultUntil ? this->servicefault : ServiceFault::None;
    // The connection is made before the first byte; a pause may come in between.
    this->onInstance(call->instance, jitter(4), [this, call, tries, fault] {
        if (fault == ServiceFault::Down && tries + 1 < kMostEndpoints)
            return this->sendCall(call, tries + 1);
        if (fault == ServiceFault::Down || !Once::maySend(call->attempt, this->time)) {
            this->voidCall(call, 0);
            return this->answerCall(call, CallAnswer::Kind::No);
        }
        this->note(this->instances[call->instance].id + " sends " + call->key);
        const bool acts = fault != ServiceFault::DropBefore;
        const bool replies = fault != ServiceFault::DropBefore && fault != ServiceFault::DropAfter;
        const Milliseconds delay = fault == ServiceFault::Slow ? Milliseconds(4000) : jitter(10);
        if (acts) {
            this->after(delay, [this, call] {
                this->note("service runs " + call->key);
                ++this->runsByKey[call->key];
            });
        }
        this->onInstance(call->instance, delay + jitter(4), [this, call, replies] {
            this->finishCall(call, replies ? Common::Ran::Yes : Common::Ran::Maybe);
        });
    });
}

void World::finishCall(std::shared_ptr<Call> call, Common::Ran ran)
{
    this->answerCall(call,
                     ran == Common::Ran::Yes ? CallAnswer::Kind::Yes : CallAnswer::Kind::Maybe);
    Once::LedgerRow row = call->claimed;
    row.state = Once::RowState::Finished;
    row.outcome.ran = ran;
    this->writeOutcome(call, row, 0);
}

// Written after the answer; a few tries are enough for the promises.
void World::writeOutcome(std::shared_ptr<Call> call, Once::LedgerRow row, int tries)
{
    if (tries > kMostOutcomeTries)
        return;
    this->commit(call->instance, {{ledgerKey(call->key), call->stored.version}},
                 {{ledgerKey(call->key), Once::encodeRow(row)}},
                 [this, call, row, tries](CommitState state, std::uint64_t) {
                     if (state == CommitState::Committed || state == CommitState::Conflict)
                         return;
                     this->onInstance(call->instance, Milliseconds(300), [this, call, row, tries] {
                         this->writeOutcome(call, row, tries + 1);
                     });
                 });
}

void World::answerCall(std::shared_ptr<Call> call, CallAnswer::Kind kind)
{
    this->note(this->instances[call->instance].id + " answers " + call->key + " "
               + std::to_string(static_cast<int>(kind)));
    this->answersByKey[call->key].push_back({kind, this->instances[call->instance].id});
}

void World::voidCall(std::shared_ptr<Call> call, int tries)
{
    if (tries > kMostVoidTries)
        return;
    const auto again = [this, call, tries] {
        this->onInstance(call->instance, Milliseconds(500),
                         [this, call, tries] { this->voidCall(call, tries + 1); });
    };
    this->read(
        call->instance, {ledgerKey(call->key)},
        [this, call, again](const std::vector<StoredRow> *found) {
            Once::StoredRow stored;
            if (found && found->front().version > 0)
                stored = {found->front().version, Once::decodeRow(found->front().body).value()};
            const auto step = Once::stepAfterVoidRead(found ? &stored : nullptr, call->attempt.id);
            if (step == Once::VoidStep::Done)
                return;
            if (step == Once::VoidStep::ReadAgain)
                return again();
            Once::LedgerRow row = call->claimed;
            row.state = Once::RowState::Voided;
            this->commit(call->instance, {{ledgerKey(call->key), stored.version}},
                         {{ledgerKey(call->key), Once::encodeRow(row)}},
                         [again](CommitState state, std::uint64_t) {
                             if (state != CommitState::Committed)
                                 again();
                         });
        });
}

struct World::EditRun
{
    std::string name;
    Lists::ListKind kind = Lists::ListKind::Plans;
    int instance = 0;
    std::string editId;
    std::uint64_t expected = 0;
    std::string body;
};

void World::edit(const std::string &name, Lists::ListKind kind, int instance)
{
    auto run = std::make_shared<EditRun>();
    run->name = name;
    run->kind = kind;
    run->instance = instance;
    run->editId = "edit-" + name;
    if (!this->instances[instance].alive)
        return;
    // The operator edits the version that it saw when it began.
    run->expected = this->version(instance, kind);
    run->body = bodyOfList(kind, run->expected + 1);
    this->onInstance(instance, Milliseconds(0), [this, run] {
        this->poll(run->instance, [this, run](bool answered) {
            const std::uint64_t current = this->version(run->instance, run->kind);
            if (!answered)
                this->editAnswers[run->name] = EditAnswer::Rejected;
            else if (current != run->expected)
                this->editAnswers[run->name] = EditAnswer::Conflict;
            else
                this->commitEdit(run);
        });
    });
}

void World::commitEdit(std::shared_ptr<EditRun> run)
{
    const bool plans = run->kind == Lists::ListKind::Plans;
    const auto other = plans ? Lists::ListKind::Entitlements : Lists::ListKind::Plans;
    const std::string key = plans ? "plans" : "entitlements";
    const std::string otherKey = plans ? "entitlements" : "plans";
    this->commit(
        run->instance, {{key, run->expected}, {otherKey, this->version(run->instance, other)}},
        {{key, run->editId + "|" + run->body}}, [this, run](CommitState state, std::uint64_t) {
            if (state == CommitState::Committed)
                this->acceptEdit(run);
            else if (state == CommitState::Conflict)
                this->editAnswers[run->name] = EditAnswer::Conflict;
            else if (state == CommitState::NotApplied)
                this->editAnswers[run->name] = EditAnswer::Rejected;
            else
                this->resolveEdit(run, 0);
        });
}

void World::resolveEdit(std::shared_ptr<EditRun> run, int tries)
{
    const std::string key = run->kind == Lists::ListKind::Plans ? "plans" : "entitlements";
    this->read(run->instance, {key}, [this, run, tries](const std::vector<StoredRow> *found) {
        Lists::Document row;
        if (found) {
            const std::string &body = found->front().body;
            row = {found->front().version, body.substr(0, body.find('|')), ""};
        }
        const auto state = Lists::resolveEdit(Lists::WriteReply::Lost, found ? &row : nullptr,
                                              run->expected, run->editId);
        if (state == Lists::EditState::Committed)
            return this->acceptEdit(run);
        if (state == Lists::EditState::NotWritten) {
            this->editAnswers[run->name] = EditAnswer::Conflict;
            return;
        }
        if (tries >= 6) {
            this->editAnswers[run->name] = EditAnswer::Unknown;
            return;
        }
        this->onInstance(run->instance, Milliseconds(100),
                         [this, run, tries] { this->resolveEdit(run, tries + 1); });
    });
}

void World::acceptEdit(std::shared_ptr<EditRun> run)
{
    const Lists::Document document{run->expected + 1, run->editId, run->body};
    this->applyList(run->instance, run->kind, document);
    for (int other = 1; other < static_cast<int>(this->instances.size()); ++other) {
        const bool lost = this->random() % 20 == 0;
        if (other == run->instance || lost || !this->connected(run->instance, other))
            continue;
        this->onInstance(other, jitter(5), [this, run, other, document] {
            this->applyList(other, run->kind, document);
        });
    }
    this->awaitInForce(run, 0);
}

void World::awaitInForce(std::shared_ptr<EditRun> run, int tries)
{
    Instance &writer = this->instances[run->instance];
    Lists::Versions wanted;
    (run->kind == Lists::ListKind::Plans ? wanted.plans : wanted.entitlements) = run->expected + 1;
    writer.reports[writer.id] = {Common::InstanceId(writer.id), writer.lists->versions()};
    std::vector<Lists::InstanceVersions> reports;
    for (const auto &[id, report] : writer.reports)
        reports.push_back(report);
    if (Lists::missingInstances(wanted, this->acceptanceSet(), reports).empty()) {
        this->note(run->name + " is in force");
        this->editAnswers[run->name] = EditAnswer::InForce;
        this->accepted.plans = std::max(this->accepted.plans, wanted.plans);
        this->accepted.entitlements = std::max(this->accepted.entitlements, wanted.entitlements);
        return;
    }
    if (tries >= 200) {
        this->editAnswers[run->name] = EditAnswer::Committed;
        return;
    }
    this->onInstance(run->instance, Milliseconds(50),
                     [this, run, tries] { this->awaitInForce(run, tries + 1); });
}

void World::spend(int count, int instance)
{
    for (int i = 0; i < count; ++i) {
        this->onInstance(instance, Milliseconds(5 * i),
                         [this, instance] { this->spendOne(instance, 0); });
    }
}

void World::spendOne(int instance, int tries)
{
    if (!this->serves(instance))
        return;
    Instance &target = this->instances[instance];
    switch (Limits::spend(target.balance, 1, this->time)) {
    case Limits::SpendStep::Spent:
        ++this->alertsRun;
        return;
    case Limits::SpendStep::Fetch:
        target.balance.fetching = true;
        this->fetchGrant(instance, [this, instance, tries] {
            if (tries < kMostSpendTries)
                this->spendOne(instance, tries + 1);
        });
        return;
    case Limits::SpendStep::Wait:
        if (tries < kMostSpendTries)
            this->onInstance(instance, Milliseconds(20),
                             [this, instance, tries] { this->spendOne(instance, tries + 1); });
        return;
    case Limits::SpendStep::RefuseExhausted:
    case Limits::SpendStep::RefuseUnreachable:
        ++this->alertsRefused;
        return;
    }
}

void World::fetchGrant(int instance, std::function<void()> done)
{
    const auto finish = [this, instance, done](std::int64_t units, bool exhausted, bool answered) {
        Limits::AllowanceBalance &balance = this->instances[instance].balance;
        Limits::receiveGrant(balance, 1, units);
        balance.fetching = false;
        balance.exhausted = exhausted;
        if (!answered)
            balance.retryAt = this->time + Milliseconds(500);
        done();
    };
    this->read(instance, {"alerts"}, [this, instance, finish](const std::vector<StoredRow> *found) {
        if (!found)
            return finish(0, false, false);
        const StoredRow stored = found->front();
        const Limits::GrantRow row = stored.version == 0
            ? Limits::GrantRow()
            : Limits::decodeGrantRow(stored.body).value();
        const Common::InstanceId self(this->instances[instance].id);
        const std::string grantId = "g" + std::to_string(++this->nextAttempt);
        const std::int64_t wanted = Limits::blockSize(kAllowance - row.granted, 2, 10);
        const auto plan
            = Limits::planGrant(row, {kAllowance, std::chrono::hours(24)}, self, grantId, wanted);
        if (!plan)
            return finish(0, true, true);
        this->commit(
            instance, {{"alerts", stored.version}}, {{"alerts", Limits::encodeGrantRow(plan->row)}},
            [this, instance, finish, self, grantId, size = plan->size](CommitState state,
                                                                       std::uint64_t) {
                if (state == CommitState::Committed)
                    return finish(size, false, true);
                if (state != CommitState::Unknown)
                    return finish(0, false, state == CommitState::Conflict);
                this->read(instance, {"alerts"},
                           [finish, self, grantId, size](const std::vector<StoredRow> *again) {
                               std::optional<Limits::GrantRow> row;
                               if (again && again->front().version > 0)
                                   row = Limits::decodeGrantRow(again->front().body);
                               const std::int64_t units = Limits::unitsGranted(
                                   Limits::GrantReply::Lost, row ? &*row : nullptr, self, grantId,
                                   size);
                               finish(units, false, units > 0);
                           });
            });
    });
}

} // namespace Tanagerbay::Scenario
