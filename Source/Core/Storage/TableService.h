// Client of the platform's transactional table service.
//
// Wire format: `POST /v1/transactions` with `checks` and `puts`, `POST /v1/reads` with `rows`.
// Version zero stands for an absent row; each put raises the row's version by one.
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

// The transaction commits only if the row is at this version.
struct Check
{
    RowName row;
    std::uint64_t version = 0;
};

struct Put
{
    RowName row;
    std::string body;
    // The service may remove the row after this period; zero keeps it indefinitely.
    Common::Milliseconds retentionPeriod{0};
};

struct Transaction
{
    std::vector<Check> checks;
    std::vector<Put> puts;
};

enum class CommitState {
    Committed,
    // A version check failed; nothing was written.
    Conflict,
    // No byte was sent, or the service reported that it wrote nothing.
    NotApplied,
    // No valid reply arrived: the transaction may have been applied, or may still be.
    Unknown,
};

struct CommitResult
{
    CommitState state = CommitState::Unknown;
    // New versions of the rows, in the order of the puts. Set only if committed.
    std::vector<std::uint64_t> versions;
};

class TableService
{
public:
    TableService(Http::Client &client, Http::Address address, Common::Milliseconds callTimeout,
                 Common::Counters &counters);

    Http::Awaitable<CommitResult> commit(Transaction transaction);
    // Returns the rows in the requested order, or nothing if the read failed.
    Http::Awaitable<std::optional<std::vector<Row>>> read(std::vector<RowName> rows);
    Http::Awaitable<std::optional<Row>> readOne(RowName row);

private:
    Http::CallOptions callOptions(bool repeatable) const;

    Http::Client &client;
    Http::Address address;
    Common::Milliseconds callTimeout;
    Common::Counters &counters;
};

} // namespace Tanagerbay::Storage
