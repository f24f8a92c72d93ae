#include "Limits/Allowance.h"

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;
using namespace Tanagerbay::Limits;

namespace {

struct AllowanceFixture
{
    Common::Time now = Common::Time(std::chrono::seconds(100));
    AllowanceLimit limit{40, std::chrono::hours(24)};
    Common::InstanceId self{"i1"};
    AllowanceBalance balance;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Allowances, AllowanceFixture)

BOOST_AUTO_TEST_CASE(spend_noUnitsHeld_fetches)
{
    BOOST_TEST((spend(this->balance, 1, this->now) == SpendStep::Fetch));
}

BOOST_AUTO_TEST_CASE(spend_blockHeld_countsDown)
{
    spend(this->balance, 1, this->now);
    receiveGrant(this->balance, 1, 2);
    BOOST_TEST((spend(this->balance, 1, this->now) == SpendStep::Spent));
    BOOST_TEST((spend(this->balance, 1, this->now) == SpendStep::Spent));
    BOOST_TEST((spend(this->balance, 1, this->now) == SpendStep::Fetch));
}

BOOST_AUTO_TEST_CASE(spend_blockOfAnEarlierWindow_isDiscarded)
{
    spend(this->balance, 1, this->now);
    receiveGrant(this->balance, 1, 2);
    BOOST_TEST((spend(this->balance, 2, this->now) == SpendStep::Fetch));
}

BOOST_AUTO_TEST_CASE(spend_exhaustedWindow_isRefusedUntilTheNext)
{
    spend(this->balance, 1, this->now);
    this->balance.exhausted = true;
    BOOST_TEST((spend(this->balance, 1, this->now) == SpendStep::RefuseExhausted));
    BOOST_TEST((spend(this->balance, 2, this->now) == SpendStep::Fetch));
}

BOOST_AUTO_TEST_CASE(grant_arrivingInTheNextWindow_isNotUsed)
{
    spend(this->balance, 2, this->now);
    receiveGrant(this->balance, 1, 5);
    BOOST_TEST(this->balance.remaining == 0);
}

BOOST_AUTO_TEST_CASE(refund_inTheSameWindow_returnsTheUnit)
{
    spend(this->balance, 1, this->now);
    receiveGrant(this->balance, 1, 1);
    spend(this->balance, 1, this->now);
    refund(this->balance, 1);
    BOOST_TEST((spend(this->balance, 1, this->now) == SpendStep::Spent));
    refund(this->balance, 0);
    BOOST_TEST(this->balance.remaining == 0);
}

BOOST_AUTO_TEST_CASE(grants_untilExhausted_neverExceedTheLimit)
{
    GrantRow row;
    std::int64_t total = 0;
    for (int i = 0; i < 100; ++i) {
        const auto plan = planGrant(row, this->limit, this->self, std::to_string(i), 7);
        if (!plan)
            break;
        total += plan->size;
        row = plan->row;
    }
    BOOST_TEST(total == this->limit.count);
}

BOOST_AUTO_TEST_CASE(grant_limitLoweredBelowGranted_isRefused)
{
    GrantRow row;
    row.granted = 50;
    BOOST_TEST(!planGrant(row, this->limit, this->self, "g", 1).has_value());
}

BOOST_AUTO_TEST_CASE(grantReplyLost_rowShowsTheGrant_isUsed)
{
    GrantRow row;
    row.latest[this->self] = {"g1", 3};
    BOOST_TEST(unitsGranted(GrantReply::Lost, &row, this->self, "g1", 3) == 3);
}

BOOST_AUTO_TEST_CASE(grantReplyLost_rowWithoutItOrUnreadable_countsAsSpent)
{
    GrantRow row;
    row.latest[this->self] = {"g0", 3};
    BOOST_TEST(unitsGranted(GrantReply::Lost, &row, this->self, "g1", 3) == 0);
    BOOST_TEST(unitsGranted(GrantReply::Lost, nullptr, this->self, "g1", 3) == 0);
}

BOOST_AUTO_TEST_CASE(blockSize_fewUnitsOrLowRate_isOne)
{
    BOOST_TEST(blockSize(20, 7, 1000) == 1);
    BOOST_TEST(blockSize(100'000, 7, 0) == 1);
    BOOST_TEST(blockSize(100'000, 7, 10) == 21);
}

BOOST_AUTO_TEST_CASE(row_withGrants_survivesEncoding)
{
    GrantRow row;
    row.granted = 9;
    row.latest[this->self] = {"g1", 3};
    const auto decoded = decodeGrantRow(encodeGrantRow(row));
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST(decoded->granted == 9);
    BOOST_TEST(decoded->latest.at(this->self).id == "g1");
    BOOST_TEST(!decodeGrantRow("[]").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
