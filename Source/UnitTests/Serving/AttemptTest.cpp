#include "Serving/Attempt.h"

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;
using namespace Tanagerbay::Serving;

namespace {

struct AttemptFixture
{
    Common::Time now = Common::Time(std::chrono::seconds(100));
    AttemptState state;

    AttemptFixture()
    {
        this->state.maxAttempts = 2;
        this->state.deadline = this->now + std::chrono::seconds(1);
    }

    NextStep after(SendOutcome outcome, Common::Duration duration = {})
    {
        noteOutcome(this->state, outcome, duration);
        return nextStep(this->state, outcome, mayTryAnother(this->state, outcome, this->now));
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RequestAttempts, AttemptFixture)

BOOST_AUTO_TEST_CASE(notRepeatable_outcomeUnknown_failsWithoutAnotherSend)
{
    BOOST_TEST((this->after(SendOutcome::Unknown) == NextStep::Fail));
}

BOOST_AUTO_TEST_CASE(notRepeatable_notRun_isSentToAnotherThenRefused)
{
    BOOST_TEST((this->after(SendOutcome::NotRun) == NextStep::TryAnother));
    BOOST_TEST((this->after(SendOutcome::NotRun) == NextStep::Refuse));
}

BOOST_AUTO_TEST_CASE(notRepeatable_notRunAfterUnknown_failsInsteadOfRefusal)
{
    noteOutcome(this->state, SendOutcome::Unknown, {});
    BOOST_TEST((this->after(SendOutcome::NotRun) == NextStep::Fail));
}

BOOST_AUTO_TEST_CASE(notRepeatable_endpointFailed_relaysTheFailure)
{
    BOOST_TEST((this->after(SendOutcome::EndpointFailed) == NextStep::RelayFailure));
}

BOOST_AUTO_TEST_CASE(repeatable_outcomeUnknown_isSentToAnotherUpToTheLimit)
{
    this->state.repeatable = true;
    BOOST_TEST((this->after(SendOutcome::Unknown) == NextStep::TryAnother));
    BOOST_TEST((this->after(SendOutcome::Unknown) == NextStep::Fail));
}

// Guards against a request that waits for connections until its deadline.
BOOST_AUTO_TEST_CASE(unreachableEndpoints_connectionsTimeOut_areLimitedThenRefused)
{
    constexpr Common::Milliseconds kConnectTimeout{250};
    BOOST_TEST((this->after(SendOutcome::NotSent, kConnectTimeout) == NextStep::TryAnother));
    BOOST_TEST((this->after(SendOutcome::NotSent, kConnectTimeout) == NextStep::TryAnother));
    BOOST_TEST((this->after(SendOutcome::NotSent, kConnectTimeout) == NextStep::Refuse));
}

// Guards against requests that are refused after three refused connections while an idle endpoint
// is left.
BOOST_AUTO_TEST_CASE(unreachableEndpoints_connectionsAreRefused_anotherIsTriedEachTime)
{
    constexpr Common::Milliseconds kRefusalTime{1};
    for (int i = 0; i < 100; ++i)
        BOOST_TEST((this->after(SendOutcome::NotSent, kRefusalTime) == NextStep::TryAnother));
}

// Guards against requests that each try all endpoints of a service that is down.
BOOST_AUTO_TEST_CASE(lastResort_connectionsAreRefused_isLimited)
{
    BOOST_TEST(mayTryLastResort(this->state));
    this->after(SendOutcome::NotSent);
    this->after(SendOutcome::NotSent);
    BOOST_TEST(mayTryLastResort(this->state));
    this->after(SendOutcome::NotSent);
    BOOST_TEST(!mayTryLastResort(this->state));
}

BOOST_AUTO_TEST_CASE(repeatable_noTimeLeft_isNotSentAgain)
{
    this->state.repeatable = true;
    this->now = this->state.deadline - std::chrono::milliseconds(10);
    BOOST_TEST((this->after(SendOutcome::Unknown) == NextStep::Fail));
}

BOOST_AUTO_TEST_SUITE_END()
