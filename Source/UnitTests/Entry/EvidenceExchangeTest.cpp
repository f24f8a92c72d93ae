#include "Entry/EvidenceExchange.h"
#include "Quarantine/Verdict.h"

#include <algorithm>
#include <random>

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;
using namespace Tanagerbay::Entry;
using namespace Tanagerbay::Quarantine;

namespace {

constexpr Trait kFirst = 0xf000'0000'0000'0001;
constexpr Trait kDeadly = 0xf000'0000'0000'0002;
constexpr std::size_t kAnnounceTargets = 6;
// Duration of a message between two instances.
constexpr Common::Milliseconds kDelay{2};
constexpr Common::Milliseconds kProbePeriod{200};
constexpr std::size_t kMaxDatagramBytes = 1200;

struct SimulatedInstance
{
    Evidence evidence;
    EvidenceExchange exchange;
};

// Instances that pass evidence on as the real ones do: what is new is announced to some others at
// once, then attached to probes. One message of twenty is lost.
struct EvidenceExchangeFixture
{
    Common::Time now = Common::Time(std::chrono::seconds(1000));
    std::vector<SimulatedInstance> instances;
    std::mt19937_64 random{7};
    std::size_t largestMessage = 0;
    int crashCount = 0;

    void start(std::size_t count)
    {
        this->instances.resize(count);
    }

    void sendFrom(std::size_t sender, std::size_t count, std::vector<std::size_t> &informed)
    {
        const std::uint32_t repeats
            = Membership::newsRepeats(this->instances.size()) + kAnnounceTargets;
        for (std::size_t i = 0; i < count; ++i) {
            boost::json::object message;
            attach(this->instances[sender].exchange, message, repeats, this->now);
            const std::string text = boost::json::serialize(message);
            this->largestMessage = std::max(this->largestMessage, text.size());
            const std::size_t target = this->random() % this->instances.size();
            const bool isLost = this->random() % 20 == 0;
            if (target != sender && !isLost && this->receive(target, text))
                informed.push_back(target);
        }
    }

    // Returns whether the message told the instance something new.
    bool receive(std::size_t index, const std::string &text)
    {
        SimulatedInstance &instance = this->instances[index];
        const News read = readEvidence(boost::json::parse(text).as_object(), this->now);
        bool isNews = false;
        const auto spread = [&](const News &news) {
            isNews = isNews || !news.crashes.empty() || !news.acquittals.empty();
            publish(instance.exchange, news);
        };
        for (const Acquittal &acquittal : read.acquittals)
            spread(mergeAcquittal(instance.evidence, acquittal, this->now));
        for (const Crash &crash : read.crashes)
            spread(mergeCrash(instance.evidence, crash, this->now));
        return isNews;
    }

    // Lets announcements follow one another until no instance learns anything new.
    void announceFrom(std::size_t first)
    {
        std::vector<std::size_t> senders{first};
        while (!senders.empty()) {
            this->now += kDelay;
            std::vector<std::size_t> informed;
            for (const std::size_t sender : senders)
                this->sendFrom(sender, kAnnounceTargets, informed);
            senders = std::move(informed);
        }
    }

    void probe(int periods)
    {
        std::vector<std::size_t> ignored;
        for (int period = 0; period < periods; ++period) {
            this->now += kProbePeriod;
            for (std::size_t i = 0; i < this->instances.size(); ++i)
                this->sendFrom(i, 2, ignored);
        }
    }

    void crashSeenBy(std::size_t index, std::vector<Trait> suspects)
    {
        const std::string name = "engine-" + std::to_string(++this->crashCount);
        SimulatedInstance &instance = this->instances[index];
        publish(instance.exchange,
                mergeCrash(instance.evidence,
                           {{Common::EndpointId(name), 1}, this->now, std::move(suspects)},
                           this->now));
        this->announceFrom(index);
    }

    std::size_t countQuarantining(const std::vector<Trait> &traits)
    {
        return static_cast<std::size_t>(std::count_if(
            this->instances.begin(), this->instances.end(), [&](const auto &instance) {
                return findSuspicion(quarantined(instance.evidence, this->now), traits) != nullptr;
            }));
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EvidenceExchanges, EvidenceExchangeFixture)

// Guards against deadly requests that are never recognized because each instance sees one crash
// only, and none of the requests are alike.
BOOST_AUTO_TEST_CASE(crashes_eachAtAnotherInstance_allInstancesQuarantineThePart)
{
    this->start(7);
    for (std::size_t i = 0; i < 3; ++i)
        this->crashSeenBy(i, {kFirst, kDeadly, 50 + i});
    this->probe(5);
    BOOST_TEST(this->countQuarantining({kFirst, kDeadly, 99}) == 7u);
    BOOST_TEST(this->countQuarantining({kFirst, 99}) == 0u);
    SimulatedInstance &other = this->instances[5];
    publish(other.exchange, noteAnswerBegun(other.evidence, {kFirst}, this->now));
    this->announceFrom(5);
    this->probe(5);
    BOOST_TEST(this->countQuarantining({kDeadly, 99}) == 7u);
    BOOST_TEST(this->countQuarantining({kFirst, 99}) == 0u);
}

BOOST_AUTO_TEST_CASE(crashes_ofAFleetOfHundreds_allInstancesLearnOfThemWithinTwoSeconds)
{
    this->start(250);
    for (std::size_t i = 0; i < 3; ++i)
        this->crashSeenBy(40 * i, {kDeadly});
    this->probe(10);
    BOOST_TEST(this->countQuarantining({kDeadly}) == this->instances.size());
}

BOOST_AUTO_TEST_CASE(message_manySuspects_staysSmall)
{
    this->start(7);
    std::vector<Trait> suspects;
    for (int i = 0; i < 200; ++i)
        suspects.push_back(this->random() | (1ULL << 63));
    for (std::size_t i = 0; i < 3; ++i)
        this->crashSeenBy(i, suspects);
    this->probe(20);
    BOOST_TEST(this->largestMessage <= kMaxDatagramBytes);
    BOOST_TEST(this->countQuarantining(suspects) == 7u);
}

// An instance that has just started asks another one for all that it knows.
BOOST_AUTO_TEST_CASE(allEvidence_readByAnInstanceThatStarts_quarantinesTheSame)
{
    this->start(2);
    for (int i = 0; i < 3; ++i)
        mergeCrash(this->instances[0].evidence,
                   {{Common::EndpointId("engine-" + std::to_string(i)), 1}, this->now, {kDeadly}},
                   this->now);
    this->now += Common::Milliseconds(5000);
    boost::json::object message;
    attachAll(allEvidence(this->instances[0].evidence), message, this->now);
    this->receive(1, boost::json::serialize(message));
    BOOST_TEST(this->countQuarantining({kDeadly}) == 2u);
}

BOOST_AUTO_TEST_CASE(readEvidence_invalidEntries_areLeftOut)
{
    const auto message = boost::json::parse(
        R"({"crashes":[1,["e"],["e",1,-5,[1]],["e",1,5,{}],[7,1,5,[1]],["ok",1,5,[1,"x",2]]],)"
        R"("acquittals":[[1],["t",2],[3,"a"],[4,9]]})");
    const News news = readEvidence(message.as_object(), this->now);
    BOOST_REQUIRE(news.crashes.size() == 1u);
    BOOST_TEST(news.crashes.front().suspects == (std::vector<Trait>{1, 2}));
    BOOST_REQUIRE(news.acquittals.size() == 1u);
    BOOST_TEST(news.acquittals.front().trait == 4u);
}

BOOST_AUTO_TEST_SUITE_END()
