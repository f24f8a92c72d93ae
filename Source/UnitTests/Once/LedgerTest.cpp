#include "Once/Ledger.h"

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;
using namespace Tanagerbay::Once;

namespace {

struct LedgerFixture
{
    Common::Time now = Common::Time(std::chrono::seconds(100));
    Attempt mine{Common::AttemptId("mine"), "digest", now + std::chrono::seconds(3)};

    StoredRow storedRow(RowState state, const std::string &attempt, const std::string &digest) const
    {
        StoredRow stored;
        stored.version = 4;
        stored.row.state = state;
        stored.row.attempt = Common::AttemptId(attempt);
        stored.row.requestDigest = digest;
        return stored;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Ledger, LedgerFixture)

BOOST_AUTO_TEST_CASE(claim_committedInTime_isSent)
{
    BOOST_TEST(
        (stepAfterClaimReply(ClaimReply::Committed, this->mine, this->now) == ClaimStep::Send));
}

BOOST_AUTO_TEST_CASE(claim_committedAfterTheSendDeadline_isGivenUp)
{
    const Common::Time late = this->mine.sendDeadline;
    BOOST_TEST((stepAfterClaimReply(ClaimReply::Committed, this->mine, late) == ClaimStep::GiveUp));
}

BOOST_AUTO_TEST_CASE(claim_replyLost_isReadBack)
{
    BOOST_TEST(
        (stepAfterClaimReply(ClaimReply::Lost, this->mine, this->now) == ClaimStep::ReadBack));
}

BOOST_AUTO_TEST_CASE(read_ownClaim_isSent)
{
    const StoredRow stored = this->storedRow(RowState::Claimed, "mine", "digest");
    BOOST_TEST((stepAfterRead(&stored, this->mine, this->now) == ClaimStep::Send));
}

BOOST_AUTO_TEST_CASE(read_ownClaimAfterTheSendDeadline_isGivenUp)
{
    const StoredRow stored = this->storedRow(RowState::Claimed, "mine", "digest");
    BOOST_TEST((stepAfterRead(&stored, this->mine, this->mine.sendDeadline) == ClaimStep::GiveUp));
}

BOOST_AUTO_TEST_CASE(read_claimOfAnotherAttempt_isNeverTakenOver)
{
    const StoredRow stored = this->storedRow(RowState::Claimed, "other", "digest");
    BOOST_TEST((stepAfterRead(&stored, this->mine, this->now) == ClaimStep::RefuseHeld));
    const Common::Time muchLater = this->now + std::chrono::hours(24);
    BOOST_TEST((stepAfterRead(&stored, this->mine, muchLater) == ClaimStep::RefuseHeld));
}

BOOST_AUTO_TEST_CASE(read_finishedRow_isReplayed)
{
    const StoredRow stored = this->storedRow(RowState::Finished, "other", "digest");
    BOOST_TEST((stepAfterRead(&stored, this->mine, this->now) == ClaimStep::Replay));
}

BOOST_AUTO_TEST_CASE(read_finishedWithUnknownOutcome_isRefusedAsMaybe)
{
    StoredRow stored = this->storedRow(RowState::Finished, "other", "digest");
    stored.row.outcome.ran = Common::Ran::Maybe;
    BOOST_TEST((stepAfterRead(&stored, this->mine, this->now) == ClaimStep::RefuseHeld));
    BOOST_TEST((keyHeldError(stored.row).ran == Common::Ran::Maybe));
}

BOOST_AUTO_TEST_CASE(read_otherRequestDigest_isRefusedAsReused)
{
    const StoredRow stored = this->storedRow(RowState::Claimed, "other", "another digest");
    BOOST_TEST((stepAfterRead(&stored, this->mine, this->now) == ClaimStep::RefuseReused));
}

BOOST_AUTO_TEST_CASE(read_voidedRowOfAnotherRequest_mayBeClaimed)
{
    const StoredRow stored = this->storedRow(RowState::Voided, "other", "another digest");
    BOOST_TEST((stepAfterRead(&stored, this->mine, this->now) == ClaimStep::WriteClaim));
}

BOOST_AUTO_TEST_CASE(read_absentRow_isClaimedAgain)
{
    const StoredRow absent;
    BOOST_TEST((stepAfterRead(&absent, this->mine, this->now) == ClaimStep::WriteClaim));
}

BOOST_AUTO_TEST_CASE(read_failedAfterTheSendDeadline_isGivenUp)
{
    BOOST_TEST((stepAfterRead(nullptr, this->mine, this->mine.sendDeadline) == ClaimStep::GiveUp));
}

BOOST_AUTO_TEST_CASE(void_absentRow_isWrittenSoThatADelayedClaimFails)
{
    const StoredRow absent;
    BOOST_TEST((stepAfterVoidRead(&absent, this->mine.id) == VoidStep::Write));
}

BOOST_AUTO_TEST_CASE(void_ownClaim_isWritten)
{
    const StoredRow stored = this->storedRow(RowState::Claimed, "mine", "digest");
    BOOST_TEST((stepAfterVoidRead(&stored, this->mine.id) == VoidStep::Write));
}

BOOST_AUTO_TEST_CASE(void_claimOfAnotherAttempt_isNotOverwritten)
{
    const StoredRow stored = this->storedRow(RowState::Claimed, "other", "digest");
    BOOST_TEST((stepAfterVoidRead(&stored, this->mine.id) == VoidStep::Done));
}

BOOST_AUTO_TEST_CASE(void_rowVoidedByAnotherAttempt_isWrittenSinceAClaimMayBeGuardedByIt)
{
    const StoredRow theirs = this->storedRow(RowState::Voided, "other", "digest");
    BOOST_TEST((stepAfterVoidRead(&theirs, this->mine.id) == VoidStep::Write));
    const StoredRow own = this->storedRow(RowState::Voided, "mine", "digest");
    BOOST_TEST((stepAfterVoidRead(&own, this->mine.id) == VoidStep::Done));
}

BOOST_AUTO_TEST_CASE(row_finishedOutcome_survivesEncoding)
{
    LedgerRow row = this->storedRow(RowState::Finished, "mine", "digest").row;
    row.outcome = {Common::Ran::Yes, 201, "text/plain", "body \"quoted\"", true};
    const auto decoded = decodeRow(encodeRow(row));
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST(decoded->outcome.body == row.outcome.body);
    BOOST_TEST(decoded->outcome.status == 201u);
}

BOOST_AUTO_TEST_CASE(row_malformedText_isNotDecoded)
{
    BOOST_TEST(!decodeRow("{}").has_value());
    BOOST_TEST(!decodeRow(R"({"state":"finished","attempt":"a","requestDigest":"d"})").has_value());
}

BOOST_AUTO_TEST_CASE(rowKey_slashesInNames_doNotCollide)
{
    BOOST_TEST(rowKey(Common::WorkspaceId("a"), Common::IdempotencyKey("b/c"))
               != rowKey(Common::WorkspaceId("a/b"), Common::IdempotencyKey("c")));
}

BOOST_AUTO_TEST_SUITE_END()
