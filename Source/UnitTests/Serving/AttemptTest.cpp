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

    NextStep after(SendOutcome outcome)
    {
        noteOutcome(this->state, outcome);
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
    noteOutcome(this->state, SendOutcome::Unknown);
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

BOOST_AUTO_TEST_CASE(unreachableEndpoints_consecutive_areLimitedThenRefused)
{
    BOOST_TEST((this->after(SendOutcome::NotSent) == NextStep::TryAnother));
    BOOST_TEST((this->after(SendOutcome::NotSent) == NextStep::TryAnother));
    BOOST_TEST((this->after(SendOutcome::NotSent) == NextStep::Refuse));
}

BOOST_AUTO_TEST_CASE(repeatable_noTimeLeft_isNotSentAgain)
{
    this->state.repeatable = true;
    this->now = this->state.deadline - std::chrono::milliseconds(10);
    BOOST_TEST((this->after(SendOutcome::Unknown) == NextStep::Fail));
}

BOOST_AUTO_TEST_SUITE_END()
