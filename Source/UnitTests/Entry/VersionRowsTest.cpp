#include "Entry/VersionRows.h"

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;
using namespace Tanagerbay::Entry;

BOOST_AUTO_TEST_SUITE(VersionRowsSuite)

BOOST_AUTO_TEST_CASE(rowChanges_versionsThatCameAndWent_areAddedAndRemoved)
{
    Routing::VersionHistory history;
    history.byService["app"] = {{"v1", {}}, {"v2", {}}};
    const std::set<ServiceVersion> stored{{"app", "v1"}, {"app", "v0"}, {"old", "v1"}};
    const VersionRowChanges changes = versionRowChanges(stored, history);
    BOOST_TEST((changes.added == std::vector<ServiceVersion>{{"app", "v2"}}));
    BOOST_TEST((changes.removed == std::vector<ServiceVersion>{{"app", "v0"}, {"old", "v1"}}));
}

BOOST_AUTO_TEST_CASE(rowChanges_nothingChanged_areNone)
{
    Routing::VersionHistory history;
    history.byService["app"] = {{"v1", {}}};
    const VersionRowChanges changes = versionRowChanges({{"app", "v1"}}, history);
    BOOST_TEST(changes.added.empty());
    BOOST_TEST(changes.removed.empty());
}

// Guards against rows that never end, as each reading takes them for new.
BOOST_AUTO_TEST_CASE(rows_readAgain_keepTheirFirstTime)
{
    const Common::Time first(std::chrono::seconds(10));
    const Common::Time second(std::chrono::seconds(20));
    RowTimes times;
    noteRows(times, {{"app", "v1"}, {"app", "v2"}}, first);
    noteRows(times, {{"app", "v2"}, {"app", "v3"}}, second);
    BOOST_TEST((times == RowTimes{{{"app", "v2"}, first}, {{"app", "v3"}, second}}));
    // One that was removed meanwhile is new.
    noteRows(times, {{"app", "v1"}}, second);
    BOOST_TEST((times == RowTimes{{{"app", "v1"}, second}}));
}

BOOST_AUTO_TEST_SUITE_END()
