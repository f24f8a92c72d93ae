#include "Once/Ledger.h"

#include "Common/JsonReader.h"

namespace Tanagerbay::Once {

using Common::ErrorCode;
using Common::Ran;

namespace {

constexpr Common::Milliseconds kKeyInProgressRetryAfter{500};

} // namespace

std::string encodeRow(const LedgerRow &row)
{
    boost::json::object object;
    object["state"] = Common::nameOf(row.state);
    object["attempt"] = row.attempt.value;
    object["requestDigest"] = row.requestDigest;
    if (row.state == RowState::Finished) {
        object["outcome"] = {
            {"ran", Common::nameOf(row.outcome.ran)}, {"status", row.outcome.status},
            {"contentType", row.outcome.contentType}, {"body", row.outcome.body},
            {"bodyKept", row.outcome.bodyKept},
        };
    }
    return boost::json::serialize(object);
}

std::optional<LedgerRow> decodeRow(std::string_view text)
{
    Common::JsonFaults faults;
    const auto document = Common::parseJson(text, faults);
    if (!document)
        return std::nullopt;
    Common::ObjectReader reader(*document, "", faults);
    LedgerRow row;
    const auto state = Common::valueNamed<RowState>(reader.text("state"));
    row.attempt = Common::AttemptId(reader.text("attempt"));
    row.requestDigest = reader.text("requestDigest");
    const boost::json::value *outcome = reader.member("outcome");
    if (!state || (*state == RowState::Finished) != (outcome != nullptr))
        return std::nullopt;
    row.state = *state;
    if (outcome) {
        Common::ObjectReader entry(*outcome, "outcome", faults);
        const auto ran = Common::valueNamed<Ran>(entry.text("ran"));
        if (!ran)
            return std::nullopt;
        row.outcome.ran = *ran;
        row.outcome.status = static_cast<unsigned>(entry.integer("status", 0, 999));
        row.outcome.contentType = entry.text("contentType", "");
        row.outcome.body = entry.text("body", "");
        row.outcome.bodyKept = entry.flag("bodyKept");
    }
    if (!faults.empty())
        return std::nullopt;
    return row;
}

std::string rowKey(const Common::WorkspaceId &workspace, const Common::IdempotencyKey &key)
{
    // The length prefix distinguishes ("a", "b/c") from ("a/b", "c").
    return std::to_string(workspace.value.size()) + ":" + workspace.value + "/" + key.value;
}

bool maySend(const Attempt &attempt, Common::Time now)
{
    return now < attempt.sendDeadline;
}

ClaimStep stepAfterClaimReply(ClaimReply reply, const Attempt &attempt, Common::Time now)
{
    if (reply == ClaimReply::Committed)
        return maySend(attempt, now) ? ClaimStep::Send : ClaimStep::GiveUp;
    if (!maySend(attempt, now))
        return ClaimStep::GiveUp;
    return ClaimStep::ReadBack;
}

ClaimStep stepAfterRead(const StoredRow *stored, const Attempt &attempt, Common::Time now)
{
    const bool timeLeft = maySend(attempt, now);
    if (!stored)
        return timeLeft ? ClaimStep::ReadBack : ClaimStep::GiveUp;
    const LedgerRow &row = stored->row;
    if (stored->version > 0 && row.attempt == attempt.id && row.state == RowState::Claimed)
        return timeLeft ? ClaimStep::Send : ClaimStep::GiveUp;
    // A voided attempt never ran, so any request may claim its key.
    const bool isHeld = stored->version > 0 && row.state != RowState::Voided;
    if (isHeld && row.requestDigest != attempt.requestDigest)
        return ClaimStep::RefuseReused;
    if (isHeld && row.state == RowState::Finished)
        return row.outcome.ran == Ran::Yes ? ClaimStep::Replay : ClaimStep::RefuseHeld;
    if (isHeld)
        return ClaimStep::RefuseHeld;
    // The row is absent or voided. Writing the claim again under the same attempt id is safe:
    // whichever copy of the write is applied, the claim belongs to this attempt.
    return timeLeft ? ClaimStep::WriteClaim : ClaimStep::GiveUp;
}

VoidStep stepAfterVoidRead(const StoredRow *stored, const Common::AttemptId &attempt)
{
    if (!stored)
        return VoidStep::ReadAgain;
    if (stored->version == 0)
        return VoidStep::Write;
    const LedgerRow &row = stored->row;
    if (row.state == RowState::Claimed && row.attempt == attempt)
        return VoidStep::Write;
    // This attempt's claim may still be in flight, guarded by the version of a row that another
    // attempt voided.
    if (row.state == RowState::Voided && row.attempt != attempt)
        return VoidStep::Write;
    // A claim of this attempt that is still in flight is guarded by an older version and fails.
    return VoidStep::Done;
}

Common::Error keyHeldError(const LedgerRow &row)
{
    Common::Error error;
    error.ran = Ran::Maybe;
    if (row.state == RowState::Finished) {
        error.code = ErrorCode::OutcomeUnknown;
        error.message = "an earlier attempt with this key was sent; its outcome is unknown";
        return error;
    }
    error.code = ErrorCode::KeyInProgress;
    error.message = "an earlier attempt with this key is in progress or was interrupted";
    error.retryAfter = kKeyInProgressRetryAfter;
    return error;
}

} // namespace Tanagerbay::Once
