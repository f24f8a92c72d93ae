// The ledger of requests with at-most-once execution: its rows, and the protocol for claiming them.
//
// A sender inserts a claim before it sends the first byte of a call and records the outcome
// afterwards. A claim is never taken over by another attempt. The functions here only decide the
// next step; the caller does the I/O.
#pragma once

#include "Common/EnumNames.h"
#include "Common/Error.h"
#include "Common/Ids.h"
#include "Common/Time.h"

#include <optional>
#include <string>

namespace Tanagerbay::Once {

enum class RowState { Claimed, Finished, Voided };

} // namespace Tanagerbay::Once

template <>
struct Tanagerbay::Common::EnumNames<Tanagerbay::Once::RowState>
{
    using State = Once::RowState;
    static constexpr NameTable<State, 3> table = {{
        {State::Claimed, "claimed"},
        {State::Finished, "finished"},
        {State::Voided, "voided"},
    }};
};

namespace Tanagerbay::Once {

// The endpoint's response, replayed to callers that repeat the request.
struct Outcome
{
    // `Maybe` if the call was sent and no reply arrived.
    Common::Ran ran = Common::Ran::Yes;
    unsigned status = 0;
    std::string contentType;
    std::string body;
    // False if the body was too large to store.
    bool bodyKept = true;
};

struct LedgerRow
{
    RowState state = RowState::Claimed;
    Common::AttemptId attempt;
    std::string requestDigest;
    Outcome outcome;
};

// A row as read from the table service. Version zero stands for an absent row.
struct StoredRow
{
    std::uint64_t version = 0;
    LedgerRow row;
};

std::string encodeRow(const LedgerRow &row);
// Returns nothing if the text is not a ledger row.
std::optional<LedgerRow> decodeRow(std::string_view text);

// Returns the row key of a request, which is unique across workspaces.
std::string rowKey(const Common::WorkspaceId &workspace, const Common::IdempotencyKey &key);

// An attempt of one instance to run a request.
struct Attempt
{
    Common::AttemptId id;
    std::string requestDigest;
    // Fixed before the first claim is written. From this time on, the call must not be sent.
    Common::Time sendDeadline;
};

enum class ClaimReply { Committed, Conflict, Lost };

enum class ClaimStep {
    // Send the call to an endpoint.
    Send,
    // Read the row to learn whether the claim was committed.
    ReadBack,
    // Write the claim again, guarded by the version of the row that was read.
    WriteClaim,
    // Answer with the recorded outcome.
    Replay,
    // Another attempt has claimed the key, or its outcome is unknown.
    RefuseHeld,
    // The key was used for a request with another digest.
    RefuseReused,
    // The claim may or may not be committed and its send deadline has passed: send nothing, and
    // void it in the background.
    GiveUp,
};

// Returns the next step after the reply to a claim's write.
ClaimStep stepAfterClaimReply(ClaimReply reply, const Attempt &attempt, Common::Time now);

// Returns the next step after a read of the row. `stored` is null if the read failed.
ClaimStep stepAfterRead(const StoredRow *stored, const Attempt &attempt, Common::Time now);

// Returns whether the attempt may still send its first byte. To be checked right before sending.
bool maySend(const Attempt &attempt, Common::Time now);

enum class VoidStep {
    // The attempt can no longer run: its claim is voided or finished, or another attempt has
    // claimed the row.
    Done,
    // Write the voided row, guarded by the version that was read.
    Write,
    // Repeat the read later.
    ReadAgain,
};

// Returns the next step towards ensuring that the claim of an attempt that was not sent can no
// longer take effect.
VoidStep stepAfterVoidRead(const StoredRow *stored, const Common::AttemptId &attempt);

// Returns the error for a caller whose key another attempt has claimed or has finished with an
// unknown outcome.
Common::Error keyHeldError(const LedgerRow &row);

} // namespace Tanagerbay::Once
