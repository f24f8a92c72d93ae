#include "Routing/AffinityChoice.h"

#include <map>

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;
using namespace Tanagerbay::Routing;

namespace {

struct AffinityChoiceFixture
{
    Common::Time now = Common::Time(std::chrono::seconds(100));
    Pool pool{1};

    AffinityChoiceFixture()
    {
        std::vector<EndpointEntry> entries;
        for (int i = 0; i < 9; ++i) {
            EndpointEntry entry;
            entry.id = Common::EndpointId("e" + std::to_string(i));
            entry.address = {"127.0.0.1", static_cast<std::uint16_t>(9000 + i)};
            entries.push_back(entry);
        }
        applyEntries(this->pool, entries);
    }

    std::size_t chosenFor(const std::string &key, std::vector<Common::EndpointId> tried = {})
    {
        return chooseByAffinity(this->pool, {key, std::move(tried)}, this->now).value();
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AffinityChoiceSuite, AffinityChoiceFixture)

BOOST_AUTO_TEST_CASE(chooseByAffinity_samePart_keepsTheEndpointWhenAnotherLeaves)
{
    const std::size_t before = this->chosenFor("part");
    this->pool.endpoints[(before + 1) % 9].state = EndpointState::Leaving;
    BOOST_TEST(this->chosenFor("part") == before);
}

BOOST_AUTO_TEST_CASE(chooseByAffinity_manyParts_areSpreadOverAll)
{
    std::map<std::size_t, int> counts;
    for (int i = 0; i < 900; ++i)
        ++counts[this->chosenFor("part" + std::to_string(i))];
    BOOST_TEST(counts.size() == 9u);
    for (const auto &[index, count] : counts)
        BOOST_TEST(count < 200);
}

// Guards against overload by a hot part: calls beyond the load bound of one endpoint go to the next
// one in hash order.
BOOST_AUTO_TEST_CASE(chooseByAffinity_hotPart_spillsOverBeyondTheLoadBound)
{
    std::map<std::size_t, int> counts;
    for (int i = 0; i < 90; ++i) {
        const std::size_t index = this->chosenFor("hot");
        beginCall(this->pool, index);
        ++counts[index];
    }
    // The bound is 1.5 times the mean of ten calls, plus three.
    BOOST_TEST(counts.size() >= 5u);
    for (const auto &[index, count] : counts)
        BOOST_TEST(count <= 19);
}

BOOST_AUTO_TEST_CASE(chooseByAffinity_highErrorRate_isPassedOver)
{
    const std::size_t index = this->chosenFor("part");
    for (int i = 0; i < 2; ++i)
        noteFailure(this->pool.endpoints[index], false, this->now);
    this->pool.endpoints[index].health.errorRate = 0.5;
    BOOST_TEST(this->chosenFor("part") != index);
}

BOOST_AUTO_TEST_CASE(chooseByAffinity_triedEndpoint_isNotChosenAgain)
{
    const std::size_t index = this->chosenFor("part");
    BOOST_TEST(this->chosenFor("part", {this->pool.endpoints[index].id}) != index);
}

BOOST_AUTO_TEST_CASE(chooseByAffinity_allLeaving_choosesNone)
{
    for (Endpoint &endpoint : this->pool.endpoints)
        endpoint.state = EndpointState::Leaving;
    BOOST_TEST(!chooseByAffinity(this->pool, {"part", {}}, this->now).has_value());
}

BOOST_AUTO_TEST_CASE(applyEntries_restartedEndpoint_losesItsState)
{
    EndpointEntry entry;
    entry.id = Common::EndpointId("e0");
    entry.address = this->pool.endpoints.front().address;
    entry.incarnation = 7;
    beginCall(this->pool, 0);
    applyEntries(this->pool, {entry});
    BOOST_TEST(this->pool.endpoints.front().ownInFlight == 0u);
    beginCall(this->pool, 0);
    applyEntries(this->pool, {entry});
    BOOST_TEST(this->pool.endpoints.front().ownInFlight == 1u);
}

// Guards against a stream that goes on at a version that cannot continue what another one wrote.
BOOST_AUTO_TEST_CASE(chooseByAffinity_requiredVersion_choosesNoOther)
{
    for (std::size_t i = 0; i < 9; ++i)
        this->pool.endpoints[i].version = i < 2 ? "v1" : "v2";
    for (int i = 0; i < 100; ++i) {
        const auto chosen = chooseByAffinity(
            this->pool, {"part" + std::to_string(i), {}, std::string("v1")}, this->now);
        BOOST_REQUIRE(chosen.has_value());
        BOOST_TEST(this->pool.endpoints[*chosen].version == "v1");
    }
    const std::vector<Common::EndpointId> tried{Common::EndpointId("e0"), Common::EndpointId("e1")};
    BOOST_TEST(
        !chooseByAffinity(this->pool, {"part", tried, std::string("v1")}, this->now).has_value());
}

// Guards against the streams of a version that all go to one of its few endpoints: the load bound
// counts the endpoints that may serve them only.
BOOST_AUTO_TEST_CASE(chooseByAffinity_fewEndpointsOfTheVersion_spreadsAHotPartOverThem)
{
    for (std::size_t i = 0; i < 9; ++i) {
        this->pool.endpoints[i].version = i < 2 ? "v1" : "v2";
        this->pool.endpoints[i].ownInFlight = i < 2 ? 0 : 400;
    }
    for (int i = 0; i < 100; ++i) {
        const auto chosen
            = chooseByAffinity(this->pool, {"part", {}, std::string("v1")}, this->now);
        beginCall(this->pool, chosen.value());
    }
    // The bound is one and a half times the mean of 50, three and the call that reached it.
    BOOST_TEST(this->pool.endpoints[0].ownInFlight <= 79u);
    BOOST_TEST(this->pool.endpoints[1].ownInFlight <= 79u);
}

BOOST_AUTO_TEST_SUITE_END()
