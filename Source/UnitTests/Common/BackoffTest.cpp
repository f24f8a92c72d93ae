#include "Common/Backoff.h"

#include <set>

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay::Common;

BOOST_AUTO_TEST_SUITE(Backoffs)

BOOST_AUTO_TEST_CASE(failuresInARow_delaysDoubleUpToTheLongest)
{
    Backoff backoff{{Milliseconds(200), Milliseconds(1500)}, 0};
    constexpr double kMiddle = 0.5;
    std::vector<std::int64_t> delays;
    for (int i = 0; i < 6; ++i)
        delays.push_back(toMilliseconds(delayAfterFailure(backoff, kMiddle)));
    BOOST_TEST(delays == (std::vector<std::int64_t>{200, 400, 800, 1500, 1500, 1500}));
    noteSuccess(backoff);
    BOOST_TEST(toMilliseconds(delayAfterFailure(backoff, kMiddle)) == 200);
}

// A store that refuses a hundred instances for nine seconds: they do not ask in step, and not
// often.
BOOST_AUTO_TEST_CASE(outageOfNineSeconds_manyInstances_callsAreFewAndSpread)
{
    std::size_t calls = 0;
    std::set<std::int64_t> moments;
    for (int instance = 0; instance < 100; ++instance) {
        Backoff backoff{{Milliseconds(200), Milliseconds(1500)}, 0};
        std::uint32_t state = static_cast<std::uint32_t>(instance) + 1;
        Duration at{0};
        while (at < Milliseconds(9000)) {
            ++calls;
            moments.insert(toMilliseconds(at));
            state = state * 1664525u + 1013904223u;
            at += delayAfterFailure(backoff, static_cast<double>(state >> 8) / (1u << 24));
        }
    }
    BOOST_TEST(calls < 100u * 12u);
    BOOST_TEST(moments.size() > 500u);
}

BOOST_AUTO_TEST_SUITE_END()
