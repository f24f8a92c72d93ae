// Ordering of the stages of a request and their time budgets.
#include "Staging/StageChain.h"

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;
using namespace Tanagerbay::Staging;
using std::chrono::milliseconds;

namespace {

// One stage with a large result, in parallel with a chain of three stages with small results.
struct StageChainFixture
{
    Catalog::Catalog catalog;
    std::vector<Catalog::Stage> stages{{"render", {}, 1'500'000},
                                       {"render", {}, 8'000},
                                       {"content", {1}, 60'000},
                                       {"accounts", {2}, 6'000}};
    std::vector<StageProgress> progress{4};

    StageChainFixture()
    {
        for (const char *name : {"render", "content", "accounts"}) {
            Catalog::Service service;
            service.name = name;
            service.batching = Catalog::Batching{1, 10, milliseconds(200), milliseconds(10), 1, {}};
            this->catalog.services[name] = service;
        }
    }

    std::vector<std::size_t> ready() const
    {
        return readyStages(this->stages, this->progress);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StageChainSuite, StageChainFixture)

BOOST_AUTO_TEST_CASE(largeResultInParallelWithLongChain_chainStartsFirst)
{
    BOOST_TEST(this->ready() == std::vector<std::size_t>{1});
}

// If the large result started only after the chain's end, the request would need one more call.
BOOST_AUTO_TEST_CASE(chainInItsLastStage_largeResultStartsInParallel)
{
    this->progress[1] = this->progress[2] = {true, true};
    this->progress[3] = {true, false};
    BOOST_TEST(this->ready() == std::vector<std::size_t>{0});
}

BOOST_AUTO_TEST_CASE(stageWithInputs_startsOnceTheyAreReady)
{
    this->progress[1] = {true, false};
    BOOST_TEST(this->ready().empty());
    this->progress[1].isDone = true;
    BOOST_TEST(this->ready() == std::vector<std::size_t>{2});
}

BOOST_AUTO_TEST_CASE(results_areNeededUntilTheirConsumersAreDone)
{
    BOOST_TEST(hasOtherPendingConsumer(this->stages, this->progress, 1, 3));
    BOOST_TEST(!hasOtherPendingConsumer(this->stages, this->progress, 1, 2));
    this->progress[2].isDone = true;
    BOOST_TEST(!hasOtherPendingConsumer(this->stages, this->progress, 1, 3));
}

BOOST_AUTO_TEST_CASE(stagesWithoutDependents_areFinal)
{
    BOOST_TEST(isFinal(this->stages, 0));
    BOOST_TEST(!isFinal(this->stages, 2));
    BOOST_TEST(isFinal(this->stages, 3));
}

// The minimum time is what tells whether a request can still end in time; if not, its pieces are
// not worth a call. Here two calls of one piece follow, 210 ms each. A full call takes 300 ms; the
// planned time of a stage adds time for queueing and messages.
BOOST_AUTO_TEST_CASE(minTimeAfterEnd_sumsFollowingStages_withoutQueueing)
{
    BOOST_TEST((minTimeAfterEnd(this->catalog, this->stages, 1) == milliseconds(420)));
    BOOST_TEST((minTimeAfterEnd(this->catalog, this->stages, 3) == milliseconds(0)));
    BOOST_TEST((minTimeAfterEnd(this->catalog, this->stages, 0) == milliseconds(0)));
}

BOOST_AUTO_TEST_CASE(plannedTime_includesEachStageOfTheChainAndTheEndpoint)
{
    const auto last = plannedTimeFromStart(this->catalog, this->stages, 3, milliseconds(100));
    const auto first = plannedTimeFromStart(this->catalog, this->stages, 1, milliseconds(100));
    BOOST_TEST((last >= milliseconds(400)));
    BOOST_TEST((first - milliseconds(100) == (last - milliseconds(100)) * 3));
}

BOOST_AUTO_TEST_SUITE_END()
