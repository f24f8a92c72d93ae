#include "Serving/GracefulShutdown.h"

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;
using namespace Tanagerbay::Serving;
using std::chrono::milliseconds;

namespace {

struct GracefulShutdownFixture
{
    Common::Time now = Common::Time(std::chrono::seconds(100));
    GracefulShutdown shutdown{this->now, this->now + milliseconds(7600)};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(GracefulShutdownSuite, GracefulShutdownFixture)

BOOST_AUTO_TEST_CASE(mayAccept_justAfterTheSignal_acceptsAll)
{
    BOOST_TEST(mayAccept(this->shutdown, milliseconds(20'000), this->now + milliseconds(2000)));
}

// Guards against accepting a long request late in the shutdown: a stream accepted 3.3 s after
// SIGTERM was cut off when the process exited.
BOOST_AUTO_TEST_CASE(mayAccept_lateLongStream_isRefused)
{
    BOOST_TEST(!mayAccept(this->shutdown, milliseconds(20'000), this->now + milliseconds(3300)));
}

BOOST_AUTO_TEST_CASE(mayAccept_lateShortCall_isAcceptedIfItFinishesInTime)
{
    BOOST_TEST(mayAccept(this->shutdown, milliseconds(800), this->now + milliseconds(6000)));
    BOOST_TEST(!mayAccept(this->shutdown, milliseconds(800), this->now + milliseconds(7000)));
}

BOOST_AUTO_TEST_SUITE_END()
