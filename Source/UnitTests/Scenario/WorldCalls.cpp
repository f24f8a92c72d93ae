// Simulated callers and operators of a scenario: calls with at-most-once execution, list edits and
// spending of a strict allowance.
#include "UnitTests/Scenario/World.h"

#include "Common/Hash.h"

namespace Tanagerbay::Scenario {

namespace {

constexpr std::uint32_t kMaxStoreFailures = 2;
constexpr int kMaxEndpoints = 3;
constexpr int kMaxOutcomeTries = 20;
constexpr int kMaxVoidTries = 200;
constexpr int kMaxSpendTries = 40;

std::string ledgerKey(const std::string &key)
{
    return "once/" + key;
}

std::string listBody(Lists::ListKind kind, std::uint64_t version)
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
    bool claimMayBeApplied = false;
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
                call->claimMayBeApplied = true;
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
            call->claimMayBeApplied = true;
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
    if (asksStore && call->storeFailures >= kMaxStoreFailures)
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
        return this->recordEvent("key reused with another body: " + call->key);
    case Once::ClaimStep::GiveUp:
        break;
    }
    if (call->claimMayBeApplied)
        this->voidCall(call, 0);
    this->answerCall(call, CallAnswer::Kind::No);
}

void World::sendCall(std::shared_ptr<Call> call, int tries)
{
    const ServiceFault fault
        = this->time < this->serviceFaultUntil ? this->currentServiceFault : ServiceFault::None;
    // The sender connects before it sends the first byte; a pause may occur in between, so the send
    // deadline is checked after connecting.
    this->onInstance(call->instance, jitter(4), [this, call, tries, fault] {
        if (fault == ServiceFault::Down && tries + 1 < kMaxEndpoints)
            return this->sendCall(call, tries + 1);
        if (fault == ServiceFault::Down || !Once::maySend(call->attempt, this->time)) {
            this->voidCall(call, 0);
            return this->answerCall(call, CallAnswer::Kind::No);
        }
        this->recordEvent(this->instances[call->instance].id + " sends " + call->key);
        const bool acts = fault != ServiceFault::DropBefore;
        const bool replies = fault != ServiceFault::DropBefore && fault != ServiceFault::DropAfter;
        const Milliseconds delay = fault == ServiceFault::Slow ? Milliseconds(4000) : jitter(10);
        if (acts) {
            this->after(delay, [this, call] {
                this->recordEvent("service runs " + call->key);
                ++this->runCounts[call->key];
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

// Records the outcome after the caller was answered. A limited number of retries suffices for the
// invariants.
void World::writeOutcome(std::shared_ptr<Call> call, Once::LedgerRow row, int tries)
{
    if (tries > kMaxOutcomeTries)
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
    this->recordEvent(this->instances[call->instance].id + " answers " + call->key + " "
                      + std::to_string(static_cast<int>(kind)));
    this->answersByKey[call->key].push_back({kind, this->instances[call->instance].id});
}

void World::voidCall(std::shared_ptr<Call> call, int tries)
{
    if (tries > kMaxVoidTries)
        return;
    const auto retryLater = [this, call, tries] {
        this->onInstance(call->instance, Milliseconds(500),
                         [this, call, tries] { this->voidCall(call, tries + 1); });
    };
    this->read(
        call->instance, {ledgerKey(call->key)},
        [this, call, retryLater](const std::vector<StoredRow> *found) {
            Once::StoredRow stored;
            if (found && found->front().version > 0)
                stored = {found->front().version, Once::decodeRow(found->front().body).value()};
            const auto step = Once::stepAfterVoidRead(found ? &stored : nullptr, call->attempt.id);
            if (step == Once::VoidStep::Done)
                return;
            if (step == Once::VoidStep::ReadAgain)
                return retryLater();
            Once::LedgerRow row = call->claimed;
            row.state = Once::RowState::Voided;
            this->commit(call->instance, {{ledgerKey(call->key), stored.version}},
                         {{ledgerKey(call->key), Once::encodeRow(row)}},
                         [retryLater](CommitState state, std::uint64_t) {
                             if (state != CommitState::Committed)
                                 retryLater();
                         });
        });
}

struct World::PendingEdit
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
    auto pending = std::make_shared<PendingEdit>();
    pending->name = name;
    pending->kind = kind;
    pending->instance = instance;
    pending->editId = "edit-" + name;
    if (!this->instances[instance].alive)
        return;
    // The edit is based on the version that was current when the operator began.
    pending->expected = this->version(instance, kind);
    pending->body = listBody(kind, pending->expected + 1);
    this->onInstance(instance, Milliseconds(0), [this, pending] {
        this->poll(pending->instance, [this, pending](bool answered) {
            const std::uint64_t current = this->version(pending->instance, pending->kind);
            if (!answered)
                this->editOutcomes[pending->name] = EditOutcome::Rejected;
            else if (current != pending->expected)
                this->editOutcomes[pending->name] = EditOutcome::Conflict;
            else
                this->commitEdit(pending);
        });
    });
}

void World::commitEdit(std::shared_ptr<PendingEdit> pending)
{
    const bool plans = pending->kind == Lists::ListKind::Plans;
    const auto other = plans ? Lists::ListKind::Entitlements : Lists::ListKind::Plans;
    const std::string key = plans ? "plans" : "entitlements";
    const std::string otherKey = plans ? "entitlements" : "plans";
    this->commit(pending->instance,
                 {{key, pending->expected}, {otherKey, this->version(pending->instance, other)}},
                 {{key, pending->editId + "|" + pending->body}},
                 [this, pending](CommitState state, std::uint64_t) {
                     if (state == CommitState::Committed)
                         this->acceptEdit(pending);
                     else if (state == CommitState::Conflict)
                         this->editOutcomes[pending->name] = EditOutcome::Conflict;
                     else if (state == CommitState::NotApplied)
                         this->editOutcomes[pending->name] = EditOutcome::Rejected;
                     else
                         this->resolveEdit(pending, 0);
                 });
}

void World::resolveEdit(std::shared_ptr<PendingEdit> pending, int tries)
{
    const std::string key = pending->kind == Lists::ListKind::Plans ? "plans" : "entitlements";
    this->read(
        pending->instance, {key}, [this, pending, tries](const std::vector<StoredRow> *found) {
            Lists::Document row;
            if (found) {
                const std::string &body = found->front().body;
                row = {found->front().version, body.substr(0, body.find('|')), ""};
            }
            const auto state = Lists::resolveEdit(Lists::WriteReply::Lost, found ? &row : nullptr,
                                                  pending->expected, pending->editId);
            if (state == Lists::EditState::Committed)
                return this->acceptEdit(pending);
            if (state == Lists::EditState::NotWritten) {
                this->editOutcomes[pending->name] = EditOutcome::Conflict;
                return;
            }
            if (tries >= 6) {
                this->editOutcomes[pending->name] = EditOutcome::Unknown;
                return;
            }
            this->onInstance(pending->instance, Milliseconds(100),
                             [this, pending, tries] { this->resolveEdit(pending, tries + 1); });
        });
}

void World::acceptEdit(std::shared_ptr<PendingEdit> pending)
{
    const Lists::Document document{pending->expected + 1, pending->editId, pending->body};
    this->applyList(pending->instance, pending->kind, document);
    for (int other = 1; other < static_cast<int>(this->instances.size()); ++other) {
        const bool lost = this->random() % 20 == 0;
        if (other == pending->instance || lost || !this->connected(pending->instance, other))
            continue;
        this->onInstance(other, jitter(5), [this, pending, other, document] {
            this->applyList(other, pending->kind, document);
        });
    }
    this->awaitInForce(pending, 0);
}

void World::awaitInForce(std::shared_ptr<PendingEdit> pending, int tries)
{
    Instance &writer = this->instances[pending->instance];
    Lists::Versions wanted;
    (pending->kind == Lists::ListKind::Plans ? wanted.plans : wanted.entitlements)
        = pending->expected + 1;
    writer.reports[writer.id] = {Common::InstanceId(writer.id), writer.lists->versions()};
    std::vector<Lists::InstanceVersions> reports;
    for (const auto &[id, report] : writer.reports)
        reports.push_back(report);
    if (Lists::missingInstances(wanted, this->acceptanceSet(), reports).empty()) {
        this->recordEvent(pending->name + " is in force");
        this->editOutcomes[pending->name] = EditOutcome::InForce;
        this->acceptedVersions.plans = std::max(this->acceptedVersions.plans, wanted.plans);
        this->acceptedVersions.entitlements
            = std::max(this->acceptedVersions.entitlements, wanted.entitlements);
        return;
    }
    if (tries >= 200) {
        this->editOutcomes[pending->name] = EditOutcome::Committed;
        return;
    }
    this->onInstance(pending->instance, Milliseconds(50),
                     [this, pending, tries] { this->awaitInForce(pending, tries + 1); });
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
        ++this->unitsSpent;
        return;
    case Limits::SpendStep::Fetch:
        target.balance.fetching = true;
        this->fetchGrant(instance, [this, instance, tries] {
            if (tries < kMaxSpendTries)
                this->spendOne(instance, tries + 1);
        });
        return;
    case Limits::SpendStep::Wait:
        if (tries < kMaxSpendTries)
            this->onInstance(instance, Milliseconds(20),
                             [this, instance, tries] { this->spendOne(instance, tries + 1); });
        return;
    case Limits::SpendStep::RefuseExhausted:
    case Limits::SpendStep::RefuseUnreachable:
        ++this->spendsRefused;
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
        const std::int64_t wanted = Limits::blockSize(kAllowanceLimit - row.granted, 2, 10);
        const auto plan = Limits::planGrant(row, {kAllowanceLimit, std::chrono::hours(24)}, self,
                                            grantId, wanted);
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
                           [finish, self, grantId, size](const std::vector<StoredRow> *readBack) {
                               std::optional<Limits::GrantRow> row;
                               if (readBack && readBack->front().version > 0)
                                   row = Limits::decodeGrantRow(readBack->front().body);
                               const std::int64_t units = Limits::unitsGranted(
                                   Limits::GrantReply::Lost, row ? &*row : nullptr, self, grantId,
                                   size);
                               finish(units, false, units > 0);
                           });
            });
    });
}

} // namespace Tanagerbay::Scenario
