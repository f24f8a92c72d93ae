// Client of the platform's transactional table service.
//
// Wire format: `POST /v1/transactions` with `checks` and `puts`, `POST /v1/reads` with `rows`.
// A version of zero stands for an absent row; each put raises the row's version by one.
#pragma once

#include "Common/Counters.h"
#include "Common/Time.h"
#include "Http/Client.h"

#include <optional>

namespace Tanagerbay::Storage {

struct RowName
{
    std::string table;
    std::string key;
};

struct Row
{
    std::uint64_t version = 0;
    std::string body;
};

// The row must be at this version for the transaction to commit.
struct Check
{
    RowName row;
    std::uint64_t version = 0;
};

struct Put
{
    RowName row;
    std::string body;
    // The service may remove the row after this time; zero keeps it.
    Common::Milliseconds keepFor{0};
};

struct Transaction
{
    std::vector<Check> checks;
    std::vector<Put> puts;
};

enum class CommitState {
    Committed,
    // A check failed; nothing was written.
    Conflict,
    // No byte was sent, or the service said that it wrote nothing.
    NotDone,
    // The reply was lost: the transaction may have taken effect, or may yet do so.
    Unknown,
};

struct CommitResult
{
    CommitState state = CommitState::Unknown;
    // Versions of the rows put, in the order of the puts. Set where committed.
    std::vector<std::uint64_t> versions;
};

class TableService
{
public:
    TableService(Http::Client &client, Http::Address address, Common::Milliseconds callTimeout,
                 Common::Counters &counters);

    Http::Awaitable<CommitResult> commit(Transaction transaction);
    // Returns the rows in the order asked for, or nothing where the read failed.
    Http::Awaitable<std::optional<std::vector<Row>>> read(std::vector<RowName> rows);
    // Reads one row.
    Http::Awaitable<std::optional<Row>> readOne(RowName row);

private:
    Http::CallOptions options(bool repeatable) const;

    Http::Client &client;
    Http::Address address;
    Common::Milliseconds callTimeout;
    Common::Counters &counters;
};

} // namespace Tanagerbay::Storage
