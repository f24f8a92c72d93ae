// Readings of a store that may have returned from an older copy of itself.
#include "Entry/StoreReading.h"

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay::Entry;

namespace {

ReadingUse use(const StorePosition &known, const StorePosition &reading, bool isComplete)
{
    return useOfReading(known, reading, isComplete);
}

} // namespace

BOOST_AUTO_TEST_SUITE(StoreReadings)

BOOST_AUTO_TEST_CASE(sameEpoch_changesAndFullReads_areApplied)
{
    BOOST_TEST((use({3, 40}, {3, 41}, false) == ReadingUse::Apply));
    BOOST_TEST((use({3, 40}, {3, 40}, true) == ReadingUse::Apply));
}

BOOST_AUTO_TEST_CASE(newEpoch_changesOnly_requireAFullRead)
{
    // The same version may stand for another state in the new epoch.
    BOOST_TEST((use({3, 40}, {4, 40}, false) == ReadingUse::ReadAll));
    BOOST_TEST((positionAfter({3, 40}, {4, 40}, ReadingUse::ReadAll) == StorePosition{4, 0}));
}

BOOST_AUTO_TEST_CASE(newEpoch_fullRead_isAppliedAndItsLowerVersionIsTaken)
{
    BOOST_TEST((use({3, 40}, {4, 12}, true) == ReadingUse::Apply));
    BOOST_TEST((positionAfter({3, 40}, {4, 12}, ReadingUse::Apply) == StorePosition{4, 12}));
}

BOOST_AUTO_TEST_CASE(earlierEpoch_lateAnswer_isDiscarded)
{
    BOOST_TEST((use({4, 12}, {3, 90}, false) == ReadingUse::Discard));
    BOOST_TEST((use({4, 0}, {3, 90}, true) == ReadingUse::Discard));
    BOOST_TEST((positionAfter({4, 12}, {3, 90}, ReadingUse::Discard) == StorePosition{4, 12}));
}

BOOST_AUTO_TEST_CASE(noEpochNamed_readings_areApplied)
{
    BOOST_TEST((use({0, 12}, {0, 13}, false) == ReadingUse::Apply));
    BOOST_TEST((use({4, 12}, {0, 13}, false) == ReadingUse::Apply));
    BOOST_TEST((positionAfter({4, 12}, {0, 13}, ReadingUse::Apply) == StorePosition{4, 13}));
}

// A follower's own reading is under way on a slow link when a reader's report arrives.
BOOST_AUTO_TEST_CASE(readingUnderWay_laterStateBecomesKnown_isOvertaken)
{
    BOOST_TEST((use({4, 20}, {4, 19}, false) == ReadingUse::Overtaken));
    BOOST_TEST((use({4, 20}, {4, 19}, true) == ReadingUse::Overtaken));
    BOOST_TEST((use({4, 20}, {4, 20}, false) == ReadingUse::Apply));
    BOOST_TEST((positionAfter({4, 20}, {4, 19}, ReadingUse::Overtaken) == StorePosition{4, 20}));
}

BOOST_AUTO_TEST_CASE(overlappingReads_ofOneEpoch_neverLowerThePosition)
{
    BOOST_TEST((positionAfter({4, 20}, {4, 13}, ReadingUse::Apply) == StorePosition{4, 20}));
}

BOOST_AUTO_TEST_SUITE_END()
