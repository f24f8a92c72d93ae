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

BOOST_AUTO_TEST_CASE(mayAccept_justAfterTheSignal_acceptsAll)
{
    BOOST_TEST(mayTake(this->leaving, milliseconds(20'000), this->now + milliseconds(2000)));
}

// Guards against accepting a long request late in the shutdown: a stream accepted 3.3 s after
// SIGTERM was cut off when the process exited.
BOOST_AUTO_TEST_CASE(mayAccept_lateLongStream_isRefused)
{
    BOOST_TEST(!mayTake(this->leaving, milliseconds(20'000), this->now + milliseconds(3300)));
}

BOOST_AUTO_TEST_CASE(mayAccept_lateShortCall_isAcceptedIfItFinishesInTime)
{
    BOOST_TEST(mayTake(this->leaving, milliseconds(800), this->now + milliseconds(6000)));
    BOOST_TEST(!mayTake(this->leaving, milliseconds(800), this->now + milliseconds(7000)));
}

BOOST_AUTO_TEST_SUITE_END()
