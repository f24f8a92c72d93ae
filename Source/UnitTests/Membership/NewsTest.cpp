#include "Membership/News.h"

#include <random>
#include <string>

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay::Membership;

BOOST_AUTO_TEST_SUITE(NewsItems)

BOOST_AUTO_TEST_CASE(takeNews_moreItemsThanRoom_takesTheLeastRepeated)
{
    News<std::string, int> news;
    for (int i = 0; i < 5; ++i)
        publish(news, std::to_string(i), i);
    BOOST_TEST(takeNews(news, 3, 9) == (std::vector<int>{0, 1, 2}));
    BOOST_TEST(takeNews(news, 3, 9) == (std::vector<int>{3, 4, 0}));
}

BOOST_AUTO_TEST_CASE(takeNews_repeatedOften_endsAfterTheBound)
{
    News<std::string, int> news;
    publish(news, std::string("a"), 1);
    for (int i = 0; i < 4; ++i)
        BOOST_TEST(takeNews(news, 8, 4).size() == 1u);
    BOOST_TEST(takeNews(news, 8, 4).empty());
}

BOOST_AUTO_TEST_CASE(publish_sameKey_replacesTheItem)
{
    News<std::string, int> news;
    publish(news, std::string("a"), 1);
    takeNews(news, 1, 9);
    publish(news, std::string("a"), 2);
    BOOST_TEST(takeNews(news, 8, 9) == std::vector<int>{2});
}

// One instance learns something; every message reaches one instance drawn at random.
BOOST_AUTO_TEST_CASE(spread_amongManyInstances_reachesAll)
{
    for (const std::size_t instances : {30u, 300u, 1000u}) {
        std::mt19937_64 random(instances);
        std::vector<News<int, int>> news(instances);
        std::vector<bool> knows(instances, false);
        knows[0] = true;
        publish(news[0], 1, 1);
        std::size_t informed = 1;
        for (int round = 0; round < 60; ++round) {
            for (std::size_t i = 0; i < instances; ++i) {
                if (takeNews(news[i], 8, newsRepeats(instances)).empty())
                    continue;
                const std::size_t to = random() % instances;
                if (knows[to])
                    continue;
                knows[to] = true;
                publish(news[to], 1, 1);
                ++informed;
            }
        }
        BOOST_TEST(informed == instances);
    }
}

BOOST_AUTO_TEST_SUITE_END()
