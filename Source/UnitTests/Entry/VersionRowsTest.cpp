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

BOOST_AUTO_TEST_SUITE_END()
