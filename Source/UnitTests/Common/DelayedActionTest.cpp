#include "Common/DelayedAction.h"

#include <optional>
#include <thread>

#include <boost/asio/post.hpp>
#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;
using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(DelayedActions)

BOOST_AUTO_TEST_CASE(start_delayPasses_actionRunsOnce)
{
    boost::asio::io_context context;
    Common::DelayedAction action(context);
    int runs = 0;
    action.start(milliseconds(1), [&runs] { ++runs; });
    context.run();
    BOOST_TEST(runs == 1);
}

// An overloaded event loop: the timer has expired and its handler waits behind others, one of which
// destroys the object that the action refers to.
BOOST_AUTO_TEST_CASE(destroyed_expiredHandlerIsQueued_actionDoesNotRun)
{
    boost::asio::io_context context;
    std::optional<Common::DelayedAction> action(std::in_place, context);
    int runs = 0;
    action->start(milliseconds(1), [&runs] { ++runs; });
    boost::asio::post(context, [&context, &action] {
        std::this_thread::sleep_for(milliseconds(20));
        boost::asio::post(context, [&action] { action.reset(); });
    });
    context.run();
    BOOST_TEST(runs == 0);
}

BOOST_AUTO_TEST_CASE(startedAgain_expiredHandlerIsQueued_onlyTheSecondActionRuns)
{
    boost::asio::io_context context;
    Common::DelayedAction action(context);
    int first = 0;
    int second = 0;
    action.start(milliseconds(1), [&first] { ++first; });
    boost::asio::post(context, [&] {
        std::this_thread::sleep_for(milliseconds(20));
        boost::asio::post(context, [&] { action.start(milliseconds(1), [&second] { ++second; }); });
    });
    context.run();
    BOOST_TEST(first == 0);
    BOOST_TEST(second == 1);
}

BOOST_AUTO_TEST_SUITE_END()
