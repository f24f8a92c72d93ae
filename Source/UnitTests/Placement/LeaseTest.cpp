#include "Placement/Lease.h"

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;
using namespace Tanagerbay::Placement;

namespace {

struct LeaseFixture
{
    Common::Time now = Common::Time(std::chrono::seconds(100));
    Common::Milliseconds duration{10'000};
    CommandRules rules{Common::Milliseconds(2000), Common::Milliseconds(500)};
    LeaseWatch watch;

    LeaseFixture()
    {
        noteReading(this->watch, 5, {Common::InstanceId("old"), this->duration}, this->now);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Leases, LeaseFixture)

BOOST_AUTO_TEST_CASE(claim_heldByAnother_waitsForTheWholeDuration)
{
    BOOST_TEST((decideClaim(this->watch, this->now + this->duration - Common::Milliseconds(1))
                == LeaseStep::Wait));
    BOOST_TEST((decideClaim(this->watch, this->now + this->duration) == LeaseStep::Claim));
}

BOOST_AUTO_TEST_CASE(claim_leaseRenewedMeanwhile_waitsAgain)
{
    noteReading(this->watch, 6, {Common::InstanceId("old"), this->duration},
                this->now + Common::Milliseconds(9000));
    BOOST_TEST((decideClaim(this->watch, this->now + this->duration) == LeaseStep::Wait));
}

BOOST_AUTO_TEST_CASE(read_olderVersion_isIgnored)
{
    noteReading(this->watch, 4, {Common::InstanceId("older"), this->duration, true}, this->now);
    BOOST_TEST(this->watch.version == 5u);
}

BOOST_AUTO_TEST_CASE(claim_releasedOrAbsent_isImmediate)
{
    LeaseWatch absent;
    BOOST_TEST((decideClaim(absent, this->now) == LeaseStep::Claim));
    noteReading(this->watch, 6, {Common::InstanceId("old"), this->duration, true}, this->now);
    BOOST_TEST((decideClaim(this->watch, this->now) == LeaseStep::Claim));
}

BOOST_AUTO_TEST_CASE(command_tooLittleTimeLeft_isNotPermitted)
{
    const LeaseWatch absent;
    const HeldLease held = leaseAfterClaim(absent, 1, this->duration, this->rules.commandTimeout,
                                           this->now, this->now);
    BOOST_TEST(mayCommand(held, true, this->rules, this->now + Common::Milliseconds(7000)));
    BOOST_TEST(!mayCommand(held, true, this->rules, this->now + Common::Milliseconds(7500)));
}

BOOST_AUTO_TEST_CASE(command_unfencedEndpointAfterTakeover_waitsForTheMaxCommandDuration)
{
    const HeldLease held = leaseAfterClaim(this->watch, 6, this->duration,
                                           this->rules.commandTimeout, this->now, this->now);
    BOOST_TEST(mayCommand(held, true, this->rules, this->now));
    BOOST_TEST(!mayCommand(held, false, this->rules, this->now + Common::Milliseconds(1999)));
    BOOST_TEST(mayCommand(held, false, this->rules, this->now + Common::Milliseconds(2000)));
}

BOOST_AUTO_TEST_CASE(expiry_slowReply_isMeasuredFromBeforeTheRequest)
{
    const LeaseWatch absent;
    const Common::Time replied = this->now + Common::Milliseconds(4000);
    const HeldLease held = leaseAfterClaim(absent, 1, this->duration, this->rules.commandTimeout,
                                           this->now, replied);
    BOOST_TEST((held.expiresAt == this->now + this->duration));
}

BOOST_AUTO_TEST_CASE(row_encodedAndDecoded_keepsItsHolder)
{
    const auto decoded = decodeLeaseRow(encodeLeaseRow(this->watch.row));
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST(decoded->holder.value == "old");
    BOOST_TEST(!decodeLeaseRow("7").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
