#include "Quarantine/VerdictDigest.h"
#include "UnitTests/Quarantine/QuarantineFixture.h"

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;
using namespace Tanagerbay::QuarantineTests;

namespace {

constexpr std::uint64_t kOwn = 1;
constexpr std::uint64_t kTheirs = 2;

struct VerdictDigestFixture : QuarantineFixture
{
    DigestComparison comparison;

    // Digests of another instance arrive for the period. Returns how often this instance asks.
    int receiveFor(Common::Milliseconds period, std::uint64_t own, std::uint64_t other)
    {
        constexpr Common::Milliseconds kStep{100};
        int asked = 0;
        for (Common::Milliseconds passed{0}; passed < period; passed += kStep) {
            this->wait(kStep);
            asked += mustAsk(this->comparison, own, other, this->now) ? 1 : 0;
        }
        return asked;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(VerdictDigests, VerdictDigestFixture)

BOOST_AUTO_TEST_CASE(digest_doesNotDependOnTheOrder)
{
    const Suspicion first{{kDeadly}, 3, this->now};
    const Suspicion second{{kFirst, kSecondDeadly}, 4, this->now};
    BOOST_TEST(digestOf({first, second}) == digestOf({second, first}));
    BOOST_TEST(digestOf({first}) != digestOf({second}));
    BOOST_TEST(digestOf({}) == 0u);
}

// Guards against an instance that sends requests which all others hold back, because it was cut off
// from them while they learned of the crashes.
BOOST_AUTO_TEST_CASE(missedEvidence_isAskedForSoon)
{
    BOOST_TEST(this->receiveFor(Common::Milliseconds(2000), 0, kTheirs) == 1);
}

BOOST_AUTO_TEST_CASE(newsThatAreOnTheirWay_areNotAskedFor)
{
    BOOST_TEST(this->receiveFor(Common::Milliseconds(500), kOwn, kTheirs) == 0);
    BOOST_TEST(this->receiveFor(Common::Milliseconds(100), kOwn, kOwn) == 0);
    BOOST_TEST(this->receiveFor(Common::Milliseconds(500), kOwn, kTheirs) == 0);
}

BOOST_AUTO_TEST_CASE(instanceThatHoldsNothingBack_isNotAsked)
{
    BOOST_TEST(this->receiveFor(Common::Milliseconds(5000), kOwn, 0) == 0);
}

// Guards against large answers without end where the difference stays.
BOOST_AUTO_TEST_CASE(differenceThatStays_isAskedAboutSeldom)
{
    BOOST_TEST(this->receiveFor(Common::Milliseconds(60'000), kOwn, kTheirs) <= 12);
}

BOOST_AUTO_TEST_SUITE_END()
