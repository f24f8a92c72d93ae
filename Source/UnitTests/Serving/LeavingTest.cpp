#include "Serving/Leaving.h"

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;
using namespace Tanagerbay::Serving;
using std::chrono::milliseconds;

namespace {

struct LeavingFixture
{
    Common::Time now = Common::Time(std::chrono::seconds(100));
    Leaving leaving{this->now, this->now + milliseconds(7600)};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LeavingSuite, LeavingFixture)

BOOST_AUTO_TEST_CASE(mayTake_justAfterTheSignal_takesAll)
{
    BOOST_TEST(mayTake(this->leaving, milliseconds(20'000), this->now + milliseconds(2000)));
}

// Found on scale-1 of the grown deployment: a stream was taken 3.3 s after SIGTERM and cut at the
// end.
BOOST_AUTO_TEST_CASE(mayTake_lateLongStream_isNotTaken)
{
    BOOST_TEST(!mayTake(this->leaving, milliseconds(20'000), this->now + milliseconds(3300)));
}

BOOST_AUTO_TEST_CASE(mayTake_lateShortCall_isTakenWhileItEndsInTime)
{
    BOOST_TEST(mayTake(this->leaving, milliseconds(800), this->now + milliseconds(6000)));
    BOOST_TEST(!mayTake(this->leaving, milliseconds(800), this->now + milliseconds(7000)));
}

BOOST_AUTO_TEST_SUITE_END()
