// Spends strict allowances from blocks that are granted by the table service.
#pragma once

#include "Common/Sharded.h"
#include "Limits/Allowance.h"
#include "Node/RequestScope.h"

namespace Tanagerbay::Node {

class AllowanceKeeper
{
public:
    explicit AllowanceKeeper(Shared &shared);

    // One unit that was spent for a request.
    struct Unit
    {
        std::string key;
        std::int64_t window = -1;
    };

    // Spends a unit of the allowance on the request's action, fetching a block where none is left.
    // The error is of a request that did not run.
    Http::Awaitable<Common::Result<Unit>> spend(RequestScope &scope,
                                                const Lists::Allowance &allowance);
    // Gives back the unit of a request that sent nothing.
    void refund(const Unit &unit);
    // Hands back what is left, on drain.
    Http::Awaitable<void> returnAll(Worker &worker);
    std::size_t heldAllowances()
    {
        return this->holdings.size();
    }

private:
    Http::Awaitable<void> fetch(RequestScope &scope, const Lists::Allowance &allowance,
                                std::string key, std::int64_t window);
    Http::Awaitable<std::optional<Limits::GrantRow>> readRow(Worker &worker, std::string rowKey,
                                                             std::uint64_t &version);
    Common::Error refusal(Limits::SpendStep step, const Lists::Allowance &allowance) const;

    struct Entry
    {
        Limits::AllowanceBalance balance;
        Common::WorkspaceId workspace;
        std::string action;
    };

    Shared &shared;
    Common::ShardedMap<std::string, Entry> holdings;
};

} // namespace Tanagerbay::Node
