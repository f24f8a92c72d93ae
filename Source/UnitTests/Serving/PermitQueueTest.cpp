#include "Serving/PermitQueue.h"

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay::Serving;

BOOST_AUTO_TEST_SUITE(PermitQueues)

BOOST_AUTO_TEST_CASE(waitingRequests_urgentFirst_thenInOrderOfArrival)
{
    PermitQueue queue;
    const auto first = join(queue, true, 1);
    const auto second = join(queue, true, 1);
    const auto urgent = join(queue, true, 0);
    BOOST_TEST(countBefore(queue, urgent) == 0u);
    BOOST_TEST(countBefore(queue, first) == 1u);
    BOOST_TEST(countBefore(queue, second) == 2u);
    leave(queue, urgent);
    BOOST_TEST(countBefore(queue, first) == 0u);
}

BOOST_AUTO_TEST_CASE(begunStream_goesBeforeNewWork)
{
    PermitQueue queue;
    const auto work = join(queue, true, 0);
    const auto stream = join(queue, false, 3);
    BOOST_TEST(countBefore(queue, stream) == 0u);
    BOOST_TEST(countBefore(queue, work) == 1u);
}

// Guards against a request that arrives as a permit comes, before those that wait for it.
BOOST_AUTO_TEST_CASE(newRequest_countsThoseThatWait)
{
    PermitQueue queue;
    BOOST_TEST(countAhead(queue, true, 1) == 0u);
    join(queue, true, 1);
    BOOST_TEST(countAhead(queue, true, 1) == 1u);
    BOOST_TEST(countAhead(queue, true, 0) == 0u);
}

BOOST_AUTO_TEST_SUITE_END()
