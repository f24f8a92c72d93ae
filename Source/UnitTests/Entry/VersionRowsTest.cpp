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

BOOST_AUTO_TEST_CASE(rows_readAgain_keepTheirFirstTime)
{
    const Common::Time first(std::chrono::seconds(10));
    const Common::Time second(std::chrono::seconds(20));
    RowTimes times;
    replaceRows(times, {{"app", "v1"}, {"app", "v2"}}, first);
    replaceRows(times, {{"app", "v2"}, {"app", "v3"}}, second);
    BOOST_TEST((times == RowTimes{{{"app", "v2"}, first}, {{"app", "v3"}, second}}));
    // One that was removed meanwhile is new.
    replaceRows(times, {{"app", "v1"}}, second);
    BOOST_TEST((times == RowTimes{{{"app", "v1"}, second}}));
}

// Guards against a process that stays unknown for a minute although the list names it (LOST), or
// counts as known although it does not (ORDER).
BOOST_AUTO_TEST_CASE(processes_someAreNamed_othersStay)
{
    const Routing::ProcessKey named{Common::EndpointId("e1"), 17};
    const Routing::ProcessKey other{Common::EndpointId("e1"), 18};
    RowTimes processes{{{"app", Routing::unlistedVersion(named)}, {}},
                       {{"app", Routing::unlistedVersion(other)}, {}}};
    const auto taken = takeNamed(processes, [&](const Routing::ProcessKey &process) {
        return process == named ? std::optional<std::string>("v2") : std::nullopt;
    });
    BOOST_REQUIRE(taken.size() == 1u);
    BOOST_TEST(taken.front().first.version == Routing::unlistedVersion(named));
    BOOST_TEST(taken.front().second == "v2");
    BOOST_TEST(hasService(processes, "app"));
    BOOST_TEST(!hasService(processes, "ap"));
    BOOST_TEST(!hasService(processes, "apps"));
}

BOOST_AUTO_TEST_SUITE_END()
