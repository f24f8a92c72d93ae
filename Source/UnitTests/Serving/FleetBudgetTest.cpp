#include "Serving/FleetBudget.h"

#include <algorithm>
#include <random>
#include <vector>

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;
using namespace Tanagerbay::Serving;

namespace {

struct FleetBudgetFixture
{
    static constexpr std::size_t kInstances = 7;

    Common::Time now = Common::Time(std::chrono::seconds(100));
    FleetBudgetLimits limits{0.2, 54, std::chrono::seconds(10)};
    std::vector<FleetBudget> instances = std::vector<FleetBudget>(kInstances);

    int takeAll(FleetBudget &budget)
    {
        int taken = 0;
        while (taken < 1000 && budget.takeExtraSend(this->limits, kInstances, this->now))
            ++taken;
        return taken;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(FleetBudgetSuite, FleetBudgetFixture)

BOOST_AUTO_TEST_CASE(takeExtraSend_noRequests_staysWithinTheSlack)
{
    int total = 0;
    for (FleetBudget &budget : this->instances)
        total += this->takeAll(budget);
    BOOST_TEST(total > 0);
    BOOST_TEST(total <= 54);
}

BOOST_AUTO_TEST_CASE(takeExtraSend_afterTheWindow_isPermittedAgain)
{
    FleetBudget &budget = this->instances.front();
    const int first = this->takeAll(budget);
    BOOST_TEST(this->takeAll(budget) == 0);
    this->now += std::chrono::seconds(11);
    BOOST_TEST(this->takeAll(budget) == first);
}

// Guards against exceeding the fleet-wide limit in a window that begins within a slot: under random
// load on all instances, each 10 s window that ends at an extra send is checked.
BOOST_AUTO_TEST_CASE(takeExtraSend_randomLoad_keepsTheLimitInEveryWindow)
{
    std::mt19937_64 random(11);
    std::vector<Common::Time> firstSends;
    std::vector<Common::Time> extraSends;
    for (int step = 0; step < 20'000; ++step) {
        this->now += std::chrono::milliseconds(random() % 5);
        FleetBudget &budget = this->instances[random() % kInstances];
        if (random() % 4 != 0) {
            budget.noteFirstSend(this->now);
            firstSends.push_back(this->now);
        } else if (budget.takeExtraSend(this->limits, kInstances, this->now)) {
            extraSends.push_back(this->now);
        }
    }
    const auto countSince = [](const std::vector<Common::Time> &times, Common::Time since,
                               Common::Time until) {
        return std::count_if(times.begin(), times.end(),
                             [since, until](Common::Time at) { return at > since && at <= until; });
    };
    for (const Common::Time end : extraSends) {
        const Common::Time begin = end - this->limits.window;
        const double allowed
            = this->limits.ratio * static_cast<double>(countSince(firstSends, begin, end))
            + this->limits.slack;
        BOOST_REQUIRE_LE(static_cast<double>(countSince(extraSends, begin, end)), allowed);
    }
}

BOOST_AUTO_TEST_SUITE_END()
