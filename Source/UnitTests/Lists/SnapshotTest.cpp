#include "Lists/Snapshot.h"
#include "Lists/EditResolution.h"

#include "Common/Hash.h"

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;
using namespace Tanagerbay::Lists;

namespace {

std::string plansBody(int deadlineMs)
{
    return R"({"plans":[{"name":"school","deadlineMs":)" + std::to_string(deadlineMs)
        + R"(,"priority":"interactive","concurrency":10,"ratePerSecond":10}],
        "workspaces":[{"id":"w1","plan":"school","keyDigests":[")"
        + Common::secretDigestOf("key-1") + R"("]}]})";
}

const std::string kEntitlements
    = R"({"entitlements":[{"plan":"school","pipelines":["ask"],"models":["tutor"]}]})";

struct SnapshotFixture
{
    SnapshotPtr lists = std::make_shared<const Snapshot>();

    SnapshotFixture()
    {
        this->lists
            = applyDocument(this->lists, ListKind::Plans, {3, "e3", plansBody(7000)}).snapshot;
        this->lists
            = applyDocument(this->lists, ListKind::Entitlements, {2, "f2", kEntitlements}).snapshot;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ListSnapshots, SnapshotFixture)

BOOST_AUTO_TEST_CASE(document_higherVersion_isApplied)
{
    const auto result = applyDocument(this->lists, ListKind::Plans, {4, "e4", plansBody(5000)});
    BOOST_TEST((result.outcome == ApplyOutcome::Applied));
    BOOST_TEST(result.snapshot->versions().plans == 4u);
    BOOST_TEST(result.snapshot->versions().entitlements == 2u);
}

BOOST_AUTO_TEST_CASE(document_lowerVersion_isIgnored)
{
    const auto result = applyDocument(this->lists, ListKind::Plans, {2, "e2", plansBody(5000)});
    BOOST_TEST((result.outcome == ApplyOutcome::StaleIgnored));
    BOOST_TEST(result.snapshot == this->lists);
}

BOOST_AUTO_TEST_CASE(document_invalidBody_leavesTheCurrentOneInUse)
{
    const auto result = applyDocument(this->lists, ListKind::Plans, {9, "e9", "{"});
    BOOST_TEST((result.outcome == ApplyOutcome::Invalid));
    BOOST_TEST(result.snapshot->versions().plans == 3u);
}

BOOST_AUTO_TEST_CASE(edit_severalFaults_areAllReportedByPath)
{
    const std::string body = R"({"plans":[{"name":"school","deadlineMs":0,"priority":"soon",
        "concurrency":10,"ratePerSecond":10,"colour":1}],
        "workspaces":[{"id":"w1","plan":"other","keyDigests":["x"]}]})";
    const EditCheck check = checkEdit(*this->lists, ListKind::Plans, body);
    const std::string text = Common::describeFaults(check.faults);
    for (const char *path : {"plans[0].deadlineMs", "plans[0].priority", "plans[0].colour",
                             "workspaces[0].keyDigests[0]", "workspaces[0].plan"})
        BOOST_TEST(text.find(path) != std::string::npos, path);
}

BOOST_AUTO_TEST_CASE(edit_planWithoutEntitlement_isAWarning)
{
    const EditCheck check
        = checkEdit(*this->lists, ListKind::Entitlements, R"({"entitlements":[]})");
    BOOST_TEST(check.faults.empty());
    BOOST_TEST(check.warnings.size() == 1u);
}

BOOST_AUTO_TEST_CASE(edit_entitlementOfUnknownPlan_isAFault)
{
    const EditCheck check
        = checkEdit(*this->lists, ListKind::Entitlements,
                    R"({"entitlements":[{"plan":"nobody","pipelines":["ask"]}]})");
    BOOST_TEST(check.faults.size() == 1u);
}

BOOST_AUTO_TEST_CASE(difference_changedPlan_isReported)
{
    const auto lines = describeDifference(ListKind::Plans, plansBody(7000), plansBody(5000));
    BOOST_REQUIRE(lines.size() == 1u);
    BOOST_TEST(lines[0] == "~ plan school");
}

BOOST_AUTO_TEST_CASE(access_knownKey_findsWorkspacePlanAndEntitlement)
{
    const auto access = findAccess(*this->lists, "key-1");
    BOOST_REQUIRE(access.has_value());
    BOOST_TEST(access->workspace->id.value == "w1");
    BOOST_TEST(access->plan->defaultServiceLevel.deadline.count() == 7000);
}

BOOST_AUTO_TEST_CASE(access_unknownKey_isRefusedAsNotRun)
{
    const auto access = findAccess(*this->lists, "key-2");
    BOOST_REQUIRE(!access.has_value());
    BOOST_TEST((access.error().code == Common::ErrorCode::Unauthenticated));
    BOOST_TEST((access.error().ran == Common::Ran::No));
}

BOOST_AUTO_TEST_CASE(writeReplyLost_rowWithOwnEditId_isCommitted)
{
    const Document row{4, "mine", ""};
    BOOST_TEST((resolveEdit(WriteReply::Lost, &row, 3, "mine") == EditState::Committed));
}

BOOST_AUTO_TEST_CASE(writeReplyLost_rowAtGuardedVersion_isUnknownSinceTheWriteMayStillBeApplied)
{
    const Document row{3, "before", ""};
    BOOST_TEST((resolveEdit(WriteReply::Lost, &row, 3, "mine") == EditState::Unknown));
}

BOOST_AUTO_TEST_CASE(writeReplyLost_nextVersionOfAnotherEdit_isNotWritten)
{
    const Document row{4, "theirs", ""};
    BOOST_TEST((resolveEdit(WriteReply::Lost, &row, 3, "mine") == EditState::NotWritten));
}

BOOST_AUTO_TEST_CASE(writeReplyLost_severalVersionsLater_isUnknown)
{
    const Document row{6, "theirs", ""};
    BOOST_TEST((resolveEdit(WriteReply::Lost, &row, 3, "mine") == EditState::Unknown));
}

BOOST_AUTO_TEST_CASE(missingInstances_liveInstanceWithoutReport_isMissing)
{
    const std::vector<Common::InstanceId> live{Common::InstanceId("a"), Common::InstanceId("b"),
                                               Common::InstanceId("c")};
    const std::vector<InstanceVersions> reported{{Common::InstanceId("a"), {4, 2}},
                                                 {Common::InstanceId("b"), {3, 2}}};
    const auto missing = missingInstances({4, 0}, live, reported);
    BOOST_REQUIRE(missing.size() == 2u);
    BOOST_TEST(missing[0].value == "b");
    BOOST_TEST(missing[1].value == "c");
}

BOOST_AUTO_TEST_SUITE_END()
