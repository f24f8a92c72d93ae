// Reads the two lists from the store, writes operators' edits, and tells when an edit is in force.
#pragma once

#include "Lists/EditResolution.h"
#include "Node/PeerService.h"

namespace Tanagerbay::Node {

// The answer to an operator's edit.
struct EditOutcome
{
    enum class Kind {
        // Every instance has applied it.
        InForce,
        // Written; some instances have not reported it yet.
        Committed,
        // Another edit came first.
        Conflict,
        // Nothing was written.
        Rejected,
        // Nothing was written; the edit needs to be confirmed.
        NeedsConfirmation,
        // The store did not say whether it wrote the edit.
        Unknown,
    };
    Kind kind = Kind::Unknown;
    std::uint64_t version = 0;
    std::string editId;
    std::vector<Common::InstanceId> missing;
    // Faults, warnings or differences, one line each.
    std::vector<std::string> lines;
};

struct Edit
{
    Lists::ListKind kind = Lists::ListKind::Plans;
    std::string body;
    std::uint64_t expectedVersion = 0;
    bool acceptWarnings = false;
    Common::Milliseconds waitInForce{0};
};

// Used on its worker's thread only.
class ListsKeeper
{
public:
    ListsKeeper(Worker &worker, Shared &shared, PeerService &peers);

    void start();
    void stop();
    // Reads the store once. Returns whether it answered.
    Http::Awaitable<bool> poll();
    Http::Awaitable<EditOutcome> apply(Edit edit);
    // Instances that have not reported the versions in use here.
    std::vector<Common::InstanceId> missing(const Lists::Versions &wanted) const;

private:
    Http::Awaitable<void> pollLoop();
    Http::Awaitable<bool> fetch(Lists::ListKind kind);
    Http::Awaitable<Lists::EditState> write(const Edit &edit, const std::string &editId);
    Http::Awaitable<Lists::EditState> resolve(const Edit &edit, const std::string &editId);
    Http::Awaitable<void> awaitInForce(const Edit &edit, EditOutcome &outcome);

    Worker &worker;
    Shared &shared;
    PeerService &peers;
    bool stopping = false;
};

} // namespace Tanagerbay::Node
