// Polls the store for new versions of the two lists, writes operators' edits, and determines when
// an edit is in force on every instance.
#pragma once

#include "Lists/EditResolution.h"
#include "Node/PeerService.h"

namespace Tanagerbay::Node {

// The result of an operator's edit.
struct EditOutcome
{
    enum class Kind {
        // Written, and applied by every live instance.
        InForce,
        // Written, but some instances have not reported it as applied yet.
        Committed,
        // Not written, because another edit was committed first.
        Conflict,
        // Not written: the edit is invalid, or the store was unreachable or did not apply it.
        Rejected,
        // Not written: the edit has warnings that the operator must accept.
        NeedsConfirmation,
        // It could not be determined whether the store wrote the edit.
        Unknown,
    };
    Kind kind = Kind::Unknown;
    std::uint64_t version = 0;
    std::string editId;
    std::vector<Common::InstanceId> missing;
    // Faults, warnings or differences from the stored list, one per line.
    std::vector<std::string> lines;
};

struct Edit
{
    Lists::ListKind kind = Lists::ListKind::Plans;
    std::string body;
    std::uint64_t expectedVersion = 0;
    bool acceptWarnings = false;
    Common::Milliseconds inForceTimeout{0};
};

// Not thread-safe: used only on its worker's thread.
class ListSync
{
public:
    ListSync(Worker &worker, SharedState &shared, PeerService &peers);

    void start();
    void stop();
    // Reads the store once. Returns whether all reads succeeded.
    Http::Awaitable<bool> poll();
    Http::Awaitable<EditOutcome> apply(Edit edit);
    // Returns the live instances that have not reported the wanted versions as applied.
    std::vector<Common::InstanceId> missing(const Lists::Versions &wanted) const;

private:
    Http::Awaitable<void> pollLoop();
    Http::Awaitable<bool> fetch(Lists::ListKind kind);
    Http::Awaitable<Lists::EditState> write(const Edit &edit, const std::string &editId);
    Http::Awaitable<Lists::EditState> resolve(const Edit &edit, const std::string &editId);
    Http::Awaitable<void> awaitInForce(const Edit &edit, EditOutcome &outcome);

    Worker &worker;
    SharedState &shared;
    PeerService &peers;
    bool stopping = false;
};

} // namespace Tanagerbay::Node
