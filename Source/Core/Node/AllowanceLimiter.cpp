#include "Node/AllowanceLimiter.h"

#include "Common/Clock.h"

namespace Tanagerbay::Node {

using Common::Counter;
using Common::ErrorCode;

namespace {

constexpr const char *kAllowancesTable = "allowances";
constexpr int kMaxGrantAttempts = 8;
constexpr Common::Milliseconds kFetchPollInterval{2};
// After a failed fetch, requests are refused without another one during this period.
constexpr Common::Milliseconds kFetchRetryDelay{500};
// Rows of past windows are kept for this period so that complaints can be investigated.
constexpr Common::Milliseconds kRowRetention{2 * 24 * 3600 * 1000};

Limits::AllowanceLimit limitOf(const Lists::Allowance &allowance)
{
    return {allowance.count, allowance.window};
}

std::int64_t currentWindow(const Lists::Allowance &allowance)
{
    return Limits::windowIndex(Common::timeOfDay(), allowance.window);
}

Storage::RowName rowName(std::string key)
{
    return {kAllowancesTable, std::move(key)};
}

} // namespace

AllowanceLimiter::AllowanceLimiter(SharedState &shared) : shared(shared)
{
}

Common::Error AllowanceLimiter::refusal(Limits::SpendStep step,
                                        const Lists::Allowance &allowance) const
{
    Common::Error error;
    error.code = ErrorCode::LimitReached;
    if (step == Limits::SpendStep::RefuseExhausted) {
        error.message = "the allowance of " + std::to_string(allowance.count) + " for "
            + allowance.action + " is exhausted";
        error.retryAfter = Limits::timeUntilNextWindow(Common::timeOfDay(), allowance.window);
    } else {
        error.message = "the allowance for " + allowance.action + " cannot be checked at present";
        error.retryAfter = kFetchRetryDelay;
    }
    return error;
}

Http::Awaitable<std::optional<Limits::GrantRow>>
AllowanceLimiter::readGrantRow(Worker &worker, std::string rowKey, std::uint64_t &version)
{
    Storage::RowName name = rowName(std::move(rowKey));
    const auto row = co_await worker.table.readOne(std::move(name));
    if (!row)
        co_return std::nullopt;
    version = row->version;
    if (row->version == 0)
        co_return Limits::GrantRow();
    co_return Limits::decodeGrantRow(row->body);
}

// Reserves a block of units in the row. Expects the balance's `fetching` flag to be set and clears
// it.
Http::Awaitable<void> AllowanceLimiter::fetchBlock(RequestScope &scope,
                                                   const Lists::Allowance &allowance,
                                                   std::string key, std::int64_t window)
{
    const std::string rowKey
        = Limits::grantRowKey(scope.access.workspace->id, allowance.action, window);
    const Common::InstanceId self = this->shared.settings.instance;
    bool exhausted = false;
    bool answered = false;
    std::int64_t units = 0;
    for (int attempt = 0; attempt < kMaxGrantAttempts; ++attempt) {
        std::uint64_t version = 0;
        const auto row = co_await this->readGrantRow(scope.worker, rowKey, version);
        if (!row)
            break;
        const double rate = this->balances.with(key, [](HeldAllowance &held) {
            return Limits::recentSpendRate(held.balance, clockNow());
        });
        const std::int64_t wanted = Limits::blockSize(allowance.count - row->granted,
                                                      this->shared.settings.limits.instances, rate);
        const std::string grantId = randomId(scope.worker.random);
        const auto plan = Limits::planGrant(*row, limitOf(allowance), self, grantId, wanted);
        if (!plan) {
            exhausted = true;
            answered = true;
            break;
        }
        Storage::Transaction transaction;
        transaction.checks.push_back({rowName(rowKey), version});
        transaction.puts.push_back(
            {rowName(rowKey), Limits::encodeGrantRow(plan->row), allowance.window + kRowRetention});
        const auto result = co_await scope.worker.table.commit(std::move(transaction));
        if (result.state == Storage::CommitState::Conflict)
            continue;
        if (result.state == Storage::CommitState::NotApplied)
            break;
        std::optional<Limits::GrantRow> readBack;
        auto reply = Limits::GrantReply::Committed;
        if (result.state == Storage::CommitState::Unknown) {
            reply = Limits::GrantReply::Lost;
            readBack = co_await this->readGrantRow(scope.worker, rowKey, version);
        }
        units = Limits::unitsGranted(reply, readBack ? &*readBack : nullptr, self, grantId,
                                     plan->size);
        answered = units > 0;
        break;
    }
    if (units > 0)
        this->shared.counters.add(Counter::AllowanceBlocksGranted);
    this->balances.with(key, [&](HeldAllowance &held) {
        Limits::receiveGrant(held.balance, window, units);
        held.balance.fetching = false;
        if (held.balance.window == window)
            held.balance.exhausted = exhausted;
        if (!answered)
            held.balance.retryAt = clockNow() + kFetchRetryDelay;
    });
}

Http::Awaitable<Common::Result<AllowanceLimiter::Unit>>
AllowanceLimiter::spend(RequestScope &scope, const Lists::Allowance &allowance)
{
    const std::string key = Limits::grantRowKey(scope.access.workspace->id, allowance.action, 0);
    while (true) {
        const std::int64_t window = currentWindow(allowance);
        const Limits::SpendStep step = this->balances.with(key, [&](HeldAllowance &held) {
            held.workspace = scope.access.workspace->id;
            held.action = allowance.action;
            const Limits::SpendStep next = Limits::spend(held.balance, window, clockNow());
            if (next == Limits::SpendStep::Fetch)
                held.balance.fetching = true;
            return next;
        });
        switch (step) {
        case Limits::SpendStep::Spent:
            co_return Unit{key, window};
        case Limits::SpendStep::Fetch:
            co_await this->fetchBlock(scope, allowance, key, window);
            break;
        case Limits::SpendStep::Wait:
            co_await scope.worker.sleepFor(kFetchPollInterval);
            break;
        case Limits::SpendStep::RefuseExhausted:
        case Limits::SpendStep::RefuseUnreachable:
            this->shared.counters.add(Counter::AllowanceRefusals);
            co_return tl::unexpected(this->refusal(step, allowance));
        }
        if (scope.mustEnd)
            co_return tl::unexpected(drainTimeoutError(scope));
        if (clockNow() >= scope.deadline || scope.callerGone || scope.worker.ending) {
            co_return tl::unexpected(
                this->refusal(Limits::SpendStep::RefuseUnreachable, allowance));
        }
    }
}

void AllowanceLimiter::refund(const Unit &unit)
{
    this->balances.with(
        unit.key, [&unit](HeldAllowance &held) { Limits::refund(held.balance, unit.window); });
}

Http::Awaitable<void> AllowanceLimiter::returnUnspentUnits(Worker &worker)
{
    struct UnspentUnits
    {
        std::string rowKey;
        std::int64_t units = 0;
    };
    std::vector<UnspentUnits> unspentUnits;
    this->balances.retainIf([&unspentUnits](const std::string &, HeldAllowance &held) {
        if (held.balance.remaining > 0) {
            unspentUnits.push_back(
                {Limits::grantRowKey(held.workspace, held.action, held.balance.window),
                 held.balance.remaining});
        }
        return false;
    });
    for (const UnspentUnits &unspent : unspentUnits) {
        std::uint64_t version = 0;
        const auto row = co_await this->readGrantRow(worker, unspent.rowKey, version);
        if (!row || version == 0)
            continue;
        Storage::Transaction transaction;
        transaction.checks.push_back({rowName(unspent.rowKey), version});
        transaction.puts.push_back({rowName(unspent.rowKey),
                                    Limits::encodeGrantRow(Limits::planReturn(*row, unspent.units)),
                                    kRowRetention});
        // Not retried: if the write fails, the units are lost until the next window, so the limit
        // still holds.
        co_await worker.table.commit(std::move(transaction));
    }
}

} // namespace Tanagerbay::Node
