#include "Http/LazyDeadline.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;

namespace {

struct DeadlineFixture
{
    boost::asio::io_context context;
    int expirations = 0;
    Common::Time expiredAt;
    Http::LazyDeadline deadline{this->context.get_executor(), [this] {
                                    ++this->expirations;
                                    this->expiredAt = std::chrono::steady_clock::now();
                                }};
    Common::Time now = std::chrono::steady_clock::now();
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LazyDeadlines, DeadlineFixture)

BOOST_AUTO_TEST_CASE(deadline_reached_expiresOnce)
{
    this->deadline.moveTo(this->now + std::chrono::milliseconds(5));
    this->context.run();
    BOOST_TEST(this->expirations == 1);
    BOOST_TEST(this->deadline.hasExpired());
}

BOOST_AUTO_TEST_CASE(deadline_movedLater_expiresOnlyAtTheLaterTime)
{
    this->deadline.moveTo(this->now + std::chrono::milliseconds(5));
    const Common::Time later = this->now + std::chrono::milliseconds(40);
    this->deadline.moveTo(later);
    this->context.run();
    BOOST_TEST(this->expirations == 1);
    BOOST_TEST((this->expiredAt >= later));
}

BOOST_AUTO_TEST_CASE(deadline_movedEarlier_expiresAtTheEarlierTime)
{
    this->deadline.moveTo(this->now + std::chrono::hours(1));
    this->deadline.moveTo(this->now + std::chrono::milliseconds(5));
    this->context.run();
    BOOST_TEST(this->expirations == 1);
}

BOOST_AUTO_TEST_CASE(deadline_disarmed_leavesNoPendingWait)
{
    this->deadline.moveTo(this->now + std::chrono::hours(1));
    this->deadline.disarm();
    this->context.run();
    BOOST_TEST(this->expirations == 0);
    this->context.restart();
    this->deadline.moveTo(this->now + std::chrono::milliseconds(5));
    this->context.run();
    BOOST_TEST(this->expirations == 1);
}

BOOST_AUTO_TEST_CASE(deadline_cleared_neverExpires)
{
    this->deadline.moveTo(this->now + std::chrono::milliseconds(5));
    this->deadline.clear();
    this->context.run();
    BOOST_TEST(this->expirations == 0);
}

BOOST_AUTO_TEST_SUITE_END()
