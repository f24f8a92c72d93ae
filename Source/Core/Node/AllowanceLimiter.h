// Enforces strict allowances. Units are spent from blocks that the instance reserves in the table
// service.
#pragma once

#include "Common/Sharded.h"
#include "Limits/Allowance.h"
#include "Node/RequestScope.h"

namespace Tanagerbay::Node {

class AllowanceLimiter
{
public:
    explicit AllowanceLimiter(SharedState &shared);

    // A unit spent for a request, by which it can be refunded.
    struct Unit
    {
        std::string key;
        std::int64_t window = -1;
    };

    // Spends a unit of the allowance on the request's action. Fetches a block if no units are held.
    // An error means that the request did not run.
    Http::Awaitable<Common::Result<Unit>> spend(RequestScope &scope,
                                                const Lists::Allowance &allowance);
    // Refunds the unit of a request that sent nothing to an endpoint.
    void refund(const Unit &unit);
    // Returns all unspent units to the table service when the instance drains.
    Http::Awaitable<void> returnUnspentUnits(Worker &worker);
    std::size_t heldAllowances()
    {
        return this->balances.size();
    }

private:
    Http::Awaitable<void> fetchBlock(RequestScope &scope, const Lists::Allowance &allowance,
                                     std::string key, std::int64_t window);
    Http::Awaitable<std::optional<Limits::GrantRow>>
    readGrantRow(Worker &worker, std::string rowKey, std::uint64_t &version);
    Common::Error refusal(Limits::SpendStep step, const Lists::Allowance &allowance) const;

    struct HeldAllowance
    {
        Limits::AllowanceBalance balance;
        Common::WorkspaceId workspace;
        std::string action;
    };

    SharedState &shared;
    Common::ShardedMap<std::string, HeldAllowance> balances;
};

} // namespace Tanagerbay::Node
