#include "Routing/PromptChoice.h"

#include <map>
#include <set>

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;
using namespace Tanagerbay::Routing;

namespace {

struct PromptChoiceFixture
{
    Common::Time now = Common::Time(std::chrono::seconds(100));
    Pool pool{1};

    PromptChoiceFixture()
    {
        this->list(30);
        this->pool.reportsContention = true;
    }

    void list(int count)
    {
        std::vector<EndpointEntry> entries;
        for (int i = 0; i < count; ++i) {
            EndpointEntry entry;
            entry.id = Common::EndpointId("e" + std::to_string(i));
            entry.address = {"127.0.0.1", static_cast<std::uint16_t>(9000 + i)};
            entry.failureDomain = Common::FailureDomain(std::to_string(i % 3));
            entry.version = i % 2 == 0 ? "v1" : "v2";
            entry.slots = 64;
            entries.push_back(entry);
        }
        applyEntries(this->pool, entries);
    }

    static PromptWork work(std::string_view key)
    {
        PromptWork work;
        work.shared = {{key, 4000}};
        work.ownTokens = 1000;
        work.inputDomain = Common::FailureDomain("0");
        return work;
    }

    std::optional<PromptChoice> choiceFor(const std::string &key, const std::string &draw = "r",
                                          std::vector<Common::EndpointId> tried = {},
                                          std::optional<std::string> version = std::nullopt) const
    {
        return chooseForPrompt(this->pool, {key, std::move(tried), std::move(version)}, work(key),
                               draw, this->now);
    }

    Common::EndpointId homeOf(const std::string &key) const
    {
        const auto candidates = promptCandidates(this->pool, {key, {}}, work(key), "r", this->now);
        return this->pool.endpoints[candidates.front().index].id;
    }

    void report(std::size_t index, std::uint32_t waiting, double contention)
    {
        LoadReport report;
        report.waiting = waiting;
        report.slots = 64;
        report.contention = contention;
        noteReport(this->pool, this->pool.endpoints[index].id, report, this->now);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PromptChoiceSuite, PromptChoiceFixture)

BOOST_AUTO_TEST_CASE(chooseForPrompt_noContentionReported_choosesByHashAsBefore)
{
    this->pool.reportsContention = false;
    for (int i = 0; i < 100; ++i) {
        const std::string key = "part" + std::to_string(i);
        const auto choice = this->choiceFor(key);
        BOOST_TEST(choice->index == chooseByAffinity(this->pool, {key, {}}, this->now).value());
        BOOST_TEST((choice->reason == PromptChoiceReason::ByHash));
    }
}

BOOST_AUTO_TEST_CASE(chooseForPrompt_calmHome_isFollowed)
{
    const auto choice = this->choiceFor("part");
    BOOST_TEST((choice->reason == PromptChoiceReason::Home));
    BOOST_TEST(this->pool.endpoints[choice->index].id.value == this->homeOf("part").value);
}

BOOST_AUTO_TEST_CASE(chooseForPrompt_contentionOrWorkAtAllHomes_choosesElsewhere)
{
    for (const PromptCandidate &each :
         promptCandidates(this->pool, {"part", {}}, work("part"), "r", this->now)) {
        if (each.homeBelief > 0)
            this->report(each.index, 3, 2.5);
    }
    BOOST_TEST((this->choiceFor("part")->reason == PromptChoiceReason::SoonerElsewhere));
}

BOOST_AUTO_TEST_CASE(promptCandidates_sameRequest_areTheSameEachTime)
{
    const auto first = promptCandidates(this->pool, {"part", {}}, work("part"), "r1", this->now);
    const auto again = promptCandidates(this->pool, {"part", {}}, work("part"), "r1", this->now);
    std::set<std::size_t> drawn;
    for (std::size_t i = 0; i < first.size(); ++i) {
        BOOST_TEST(first[i].index == again[i].index);
        drawn.insert(first[i].index);
    }
    BOOST_TEST(drawn.size() == first.size());
    // Other requests are drawn others, so that instances do not all compare the same.
    for (int i = 0; i < 100; ++i) {
        for (const PromptCandidate &each : promptCandidates(this->pool, {"part", {}}, work("part"),
                                                            "r" + std::to_string(i), this->now))
            drawn.insert(each.index);
    }
    BOOST_TEST(drawn.size() == 30u);
}

BOOST_AUTO_TEST_CASE(homes_anEndpointGoesOrComes_fewPartsMove)
{
    std::map<std::string, Common::EndpointId> before;
    for (int i = 0; i < 600; ++i)
        before["part" + std::to_string(i)] = this->homeOf("part" + std::to_string(i));
    this->pool.endpoints[3].state = EndpointState::Leaving;
    const Common::EndpointId left = this->pool.endpoints[3].id;
    int moved = 0;
    for (const auto &[key, home] : before) {
        const bool isMoved = this->homeOf(key) != home;
        BOOST_TEST((!isMoved || home == left));
        moved += isMoved ? 1 : 0;
    }
    BOOST_TEST(moved < 60);
    this->pool.endpoints[3].state = EndpointState::Live;
    this->list(31);
    for (const auto &[key, home] : before) {
        const Common::EndpointId after = this->homeOf(key);
        BOOST_TEST((after == home || after.value == "e30"));
    }
}

BOOST_AUTO_TEST_CASE(homes_unevenPaces_areWeightedByThem)
{
    for (std::size_t i = 0; i < 30; ++i)
        this->pool.endpoints[i].lastingPace = {i % 3 == 2 ? 1.7 : 0.7, 20};
    int slow = 0;
    for (int i = 0; i < 3000; ++i) {
        const Common::EndpointId home = this->homeOf("part" + std::to_string(i));
        slow += this->pool.indexById.at(home) % 3 == 2 ? 1 : 0;
    }
    // Its share of the capacity is 17 of 100.
    BOOST_TEST(slow > 3000 * 0.13);
    BOOST_TEST(slow < 3000 * 0.21);
}

// Load: one part gets all requests of an instance, between two reports.
BOOST_AUTO_TEST_CASE(chooseForPrompt_hotPart_isSpreadOverMoreEndpoints)
{
    std::map<std::size_t, int> counts;
    for (int i = 0; i < 90; ++i) {
        const auto choice = this->choiceFor("hot", "r" + std::to_string(i));
        beginCall(this->pool, choice->index);
        noteSent(this->pool, choice->index, work("hot"), this->now);
        ++counts[choice->index];
    }
    BOOST_TEST(counts.size() >= 15u);
    for (const auto &[index, count] : counts)
        BOOST_TEST(count <= 12);
}

BOOST_AUTO_TEST_CASE(chooseForPrompt_leavingHeldTriedOrOtherVersion_isNeverChosen)
{
    std::vector<Common::EndpointId> tried;
    for (std::size_t i = 0; i < 10; ++i)
        this->pool.endpoints[i].state = EndpointState::Leaving;
    for (std::size_t i = 10; i < 18; ++i)
        holdBack(this->pool.endpoints[i], std::chrono::seconds(1), this->now);
    for (std::size_t i = 18; i < 24; ++i)
        tried.push_back(this->pool.endpoints[i].id);
    for (int i = 0; i < 100; ++i) {
        const auto choice = this->choiceFor("part" + std::to_string(i), std::to_string(i), tried,
                                            std::string("v1"));
        BOOST_TEST(choice->index >= 24u);
        BOOST_TEST(choice->index % 2 == 0u);
    }
    for (std::size_t i = 24; i < 30; ++i)
        tried.push_back(this->pool.endpoints[i].id);
    BOOST_TEST(!this->choiceFor("part", "r", tried).has_value());
}

BOOST_AUTO_TEST_CASE(chooseForPrompt_ejectedOrFailing_isChosenOnlyWhereThereIsNoOther)
{
    for (std::size_t i = 0; i < 29; ++i)
        noteFailure(this->pool.endpoints[i], true, this->now);
    for (int i = 0; i < 50; ++i) {
        const auto choice = this->choiceFor("part" + std::to_string(i));
        BOOST_TEST(choice->index == 29u);
        BOOST_TEST((choice->reason == PromptChoiceReason::OnlyOne));
    }
    noteFailure(this->pool.endpoints[29], true, this->now);
    BOOST_TEST(this->choiceFor("part").has_value());
}

BOOST_AUTO_TEST_CASE(chooseForPrompt_noSharedPart_comparesSeveral)
{
    BOOST_TEST(promptCandidates(this->pool, {"", {}}, PromptWork(), "r", this->now).size() >= 4u);
    BOOST_TEST(this->choiceFor("").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
