#include "Node/AllowanceKeeper.h"

#include "Common/Clock.h"

namespace Tanagerbay::Node {

using Common::Counter;
using Common::ErrorCode;

namespace {

constexpr const char *kAllowancesTable = "allowances";
constexpr int kMostConflicts = 8;
constexpr Common::Milliseconds kWaitForFetch{2};
// After a failed fetch requests are refused at once for this long.
constexpr Common::Milliseconds kFetchRetryDelay{500};
// Rows of past windows are kept this long, for those who look into a complaint.
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

AllowanceKeeper::AllowanceKeeper(Shared &shared) : shared(shared)
{
}

Common::Error AllowanceKeeper::refusal(Limits::SpendStep step,
                                       const Lists::Allowance &allowance) const
{
    Common::Error error;
    error.code = ErrorCode::LimitReached;
    if (step == Limits::SpendStep::RefuseExhausted) {
        error.message = "the allowance of " + std::to_string(allowance.count) + " for "
            + allowance.action + " is used up";
        error.retryAfter = Limits::timeUntilNextWindow(Common::timeOfDay(), allowance.window);
    } else {
        error.message = "the allowance for " + allowance.action + " cannot be checked now";
        error.retryAfter = kFetchRetryDelay;
    }
    return error;
}

Http::Awaitable<std::optional<Limits::GrantRow>>
AllowanceKeeper::readRow(Worker &worker, std::string rowKey, std::uint64_t &version)
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

// Takes a block from the row. The holding's `fetching` flag is set and is cleared here.
Http::Awaitable<void> AllowanceKeeper::fetch(RequestScope &scope, const Lists::Allowance &allowance,
                                             std::string key, std::int64_t window)
{
    const std::string rowKey
        = Limits::grantRowKey(scope.access.workspace->id, allowance.action, window);
    const Common::InstanceId self = this->shared.settings.instance;
    bool exhausted = false;
    bool answered = false;
    std::int64_t units = 0;
    for (int tries = 0; tries < kMostConflicts; ++tries) {
        std::uint64_t version = 0;
        const auto row = co_await this->readRow(scope.worker, rowKey, version);
        if (!row)
            break;
        const double rate = this->holdings.with(
            key, [](Entry &entry) { return Limits::recentSpendRate(entry.balance, clockNow()); });
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
            readBack = co_await this->readRow(scope.worker, rowKey, version);
        }
        units = Limits::unitsGranted(reply, readBack ? &*readBack : nullptr, self, grantId,
                                     plan->size);
        answered = units > 0;
        break;
    }
    if (units > 0)
        this->shared.counters.add(Counter::AllowanceBlocksGranted);
    this->holdings.with(key, [&](Entry &entry) {
        Limits::receiveGrant(entry.balance, window, units);
        entry.balance.fetching = false;
        if (entry.balance.window == window)
            entry.balance.exhausted = exhausted;
        if (!answered)
            entry.balance.retryAt = clockNow() + kFetchRetryDelay;
    });
}

Http::Awaitable<Common::Result<AllowanceKeeper::Unit>>
AllowanceKeeper::spend(RequestScope &scope, const Lists::Allowance &allowance)
{
    const std::string key = Limits::grantRowKey(scope.access.workspace->id, allowance.action, 0);
    while (true) {
        const std::int64_t window = currentWindow(allowance);
        const Limits::SpendStep step = this->holdings.with(key, [&](Entry &entry) {
            entry.workspace = scope.access.workspace->id;
            entry.action = allowance.action;
            const Limits::SpendStep next = Limits::spend(entry.balance, window, clockNow());
            if (next == Limits::SpendStep::Fetch)
                entry.balance.fetching = true;
            return next;
        });
        switch (step) {
        case Limits::SpendStep::Spent:
            co_return Unit{key, window};
        case Limits::SpendStep::Fetch:
            co_await this->fetch(scope, allowance, key, window);
            break;
        case Limits::SpendStep::Wait:
            co_await scope.worker.sleepFor(kWaitForFetch);
            break;
        case Limits::SpendStep::RefuseExhausted:
        case Limits::SpendStep::RefuseUnreachable:
            this->shared.counters.add(Counter::AllowanceRefusals);
            co_return tl::unexpected(this->refusal(step, allowance));
        }
        if (clockNow() >= scope.deadline || scope.callerGone || scope.worker.ending) {
            co_return tl::unexpected(
                this->refusal(Limits::SpendStep::RefuseUnreachable, allowance));
        }
    }
}

void AllowanceKeeper::refund(const Unit &unit)
{
    this->holdings.with(unit.key,
                        [&unit](Entry &entry) { Limits::refund(entry.balance, unit.window); });
}

Http::Awaitable<void> AllowanceKeeper::returnAll(Worker &worker)
{
    struct Leftover
    {
        std::string rowKey;
        std::int64_t units = 0;
    };
    std::vector<Leftover> leftovers;
    this->holdings.retainIf([&leftovers](const std::string &, Entry &entry) {
        if (entry.balance.remaining > 0) {
            leftovers.push_back(
                {Limits::grantRowKey(entry.workspace, entry.action, entry.balance.window),
                 entry.balance.remaining});
        }
        return false;
    });
    for (const Leftover &leftover : leftovers) {
        std::uint64_t version = 0;
        const auto row = co_await this->readRow(worker, leftover.rowKey, version);
        if (!row || version == 0)
            continue;
        Storage::Transaction transaction;
        transaction.checks.push_back({rowName(leftover.rowKey), version});
        transaction.puts.push_back(
            {rowName(leftover.rowKey),
             Limits::encodeGrantRow(Limits::planReturn(*row, leftover.units)), kRowRetention});
        // Tried once: what is not handed back is lost until the next window, which is safe.
        co_await worker.table.commit(std::move(transaction));
    }
}

} // namespace Tanagerbay::Node
