// Which software versions may have begun work, as far as an instance knows.
#include "Routing/VersionHistory.h"

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;
using namespace Tanagerbay::Routing;

namespace {

struct VersionHistoryFixture
{
    Common::Time start = Common::Time(std::chrono::seconds(100));
    VersionHistory history{{}, this->start};
    Pool pool{1};

    void list(const std::vector<std::string> &versions, Common::Time now)
    {
        noteVersions(this->history, "app", this->pool, now);
        std::vector<EndpointEntry> entries;
        for (std::size_t i = 0; i < versions.size(); ++i) {
            EndpointEntry entry;
            entry.id = Common::EndpointId("e" + std::to_string(i) + versions[i]);
            entry.version = versions[i];
            entries.push_back(entry);
        }
        applyEntries(this->pool, entries);
    }

    Common::Time after(int seconds) const
    {
        return this->start + std::chrono::seconds(seconds);
    }

    std::optional<std::string> onlySince(Common::Time since) const
    {
        return onlyVersionSince(this->history, "app", this->pool, since);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(VersionHistories, VersionHistoryFixture)

BOOST_AUTO_TEST_CASE(onlyVersion_oneListed_isReturned)
{
    this->list({"v1", "v1"}, this->after(0));
    BOOST_TEST((this->onlySince(this->after(1)) == "v1"));
}

BOOST_AUTO_TEST_CASE(onlyVersion_twoListed_isNotKnown)
{
    this->list({"v1", "v2"}, this->after(0));
    BOOST_TEST(!this->onlySince(this->after(1)).has_value());
}

// Guards against work of a version that has gone, taken for work of the one that is left.
BOOST_AUTO_TEST_CASE(onlyVersion_otherGoneShortlyBefore_isKnownOnlyOnceItsWorkHasEnded)
{
    this->list({"v1", "v2"}, this->after(0));
    this->list({"v2"}, this->after(30));
    BOOST_TEST(!this->onlySince(this->after(29)).has_value());
    BOOST_TEST((this->onlySince(this->after(31)) == "v2"));
}

// Guards against an instance that takes what it has seen since its start for all there was.
BOOST_AUTO_TEST_CASE(onlyVersion_historyBeginsLater_isNotKnownUntilAnotherInstanceTellsMore)
{
    this->list({"v2"}, this->after(0));
    BOOST_TEST(!this->onlySince(this->start - std::chrono::seconds(10)).has_value());
    VersionHistory other{{{"app", {{"v2", this->after(0)}}}},
                         this->start - std::chrono::seconds(60)};
    mergeHistory(this->history, other);
    BOOST_TEST((this->onlySince(this->start - std::chrono::seconds(10)) == "v2"));
    other.byService["app"]["v1"] = this->start - std::chrono::seconds(5);
    mergeHistory(this->history, other);
    BOOST_TEST(!this->onlySince(this->start - std::chrono::seconds(10)).has_value());
}

BOOST_AUTO_TEST_CASE(dropVersions_old_areForgottenAndOthersKept)
{
    this->list({"v1"}, this->after(0));
    this->list({"v2"}, this->after(10));
    this->list({"v2"}, this->after(50));
    dropVersionsBefore(this->history, this->after(20));
    BOOST_TEST(this->history.byService["app"].count("v1") == 0u);
    BOOST_TEST(this->history.byService["app"].count("v2") == 1u);
}

BOOST_AUTO_TEST_CASE(secondVersionComesAndGoes_severalAreKnownUntilItIsForgotten)
{
    const auto hasSeveral = [this](int since) {
        return hasSeveralVersions(this->history, "app", this->pool, this->after(since));
    };
    BOOST_TEST(!hasSeveral(0));
    this->list({"v1", "v1"}, this->after(1));
    BOOST_TEST(!hasSeveral(0));
    this->list({"v1", "v2"}, this->after(5));
    BOOST_TEST(hasSeveral(0));
    this->list({"v2", "v2"}, this->after(9));
    BOOST_TEST(hasSeveral(9));
    BOOST_TEST(!hasSeveral(10));
}

BOOST_AUTO_TEST_CASE(processes_byName_areTheSame)
{
    for (const ProcessKey &process :
         {ProcessKey{Common::EndpointId("e 1"), 17}, ProcessKey{Common::EndpointId("e"), 0}})
        BOOST_TEST((unlistedProcess(unlistedVersion(process)) == process));
}

BOOST_AUTO_TEST_CASE(versions_thatNameNoProcess_areVersions)
{
    for (const char *version :
         {"", "v1", "(not listed)", "(not listed) ", "(not listed) 17", "(not listed) x e1",
          "(not listed) 1x e1", "(not listed) 99999999999999999999 e1"})
        BOOST_TEST(!unlistedProcess(version).has_value(), version);
}

BOOST_AUTO_TEST_SUITE_END()
