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

BOOST_AUTO_TEST_CASE(onceOnly_outcomeUnknown_failsAndIsNeverSentAgain)
{
    BOOST_TEST((this->after(SendOutcome::Unknown) == NextStep::Fail));
}

BOOST_AUTO_TEST_CASE(onceOnly_endpointSaysNotRun_goesToAnotherThenIsRefused)
{
    BOOST_TEST((this->after(SendOutcome::NotRun) == NextStep::TryAnother));
    BOOST_TEST((this->after(SendOutcome::NotRun) == NextStep::Refuse));
}

BOOST_AUTO_TEST_CASE(onceOnly_notRunAfterUnknown_isNotCalledRefused)
{
    noteOutcome(this->state, SendOutcome::Unknown);
    BOOST_TEST((this->after(SendOutcome::NotRun) == NextStep::Fail));
}

BOOST_AUTO_TEST_CASE(onceOnly_endpointFailed_relaysTheFailure)
{
    BOOST_TEST((this->after(SendOutcome::EndpointFailed) == NextStep::RelayFailure));
}

BOOST_AUTO_TEST_CASE(repeatable_outcomeUnknown_goesToAnotherUpToTheLimit)
{
    this->state.repeatable = true;
    BOOST_TEST((this->after(SendOutcome::Unknown) == NextStep::TryAnother));
    BOOST_TEST((this->after(SendOutcome::Unknown) == NextStep::Fail));
}

BOOST_AUTO_TEST_CASE(unreachableEndpoints_severalInARow_areBoundedAndRefused)
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
