#include "Serving/FramingHabits.h"

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;
using namespace Tanagerbay::Serving;

namespace {

struct FramingHabitsFixture
{
    FramingHabits habits;
    Common::Time now;

    void note(const std::string &endpoint, bool isFramed, int times, std::uint64_t incarnation = 1)
    {
        for (int i = 0; i < times; ++i) {
            this->now += Common::Milliseconds(1);
            noteFraming(this->habits, Common::EndpointId{endpoint}, incarnation, isFramed,
                        this->now);
        }
    }

    bool endsByClosing(const std::string &endpoint, std::uint64_t incarnation = 1) const
    {
        return Serving::endsByClosing(this->habits, Common::EndpointId{endpoint}, incarnation);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(FramingHabitsSuite, FramingHabitsFixture)

// Guards against whole streams that are cut at a service that never frames any.
BOOST_AUTO_TEST_CASE(process_neverFrames_endsByClosing)
{
    this->note("i-1", false, 3);
    BOOST_TEST(!this->endsByClosing("i-1"));
    this->note("i-1", false, 1);
    BOOST_TEST(this->endsByClosing("i-1"));
}

// Guards against a broken stream that looks complete (ORDER): its process frames its other ones.
BOOST_AUTO_TEST_CASE(process_framesOneOfMany_doesNotEndByClosing)
{
    this->note("i-1", false, 50);
    this->note("i-1", true, 1);
    BOOST_TEST(!this->endsByClosing("i-1"));
    this->note("i-1", false, 50);
    BOOST_TEST(!this->endsByClosing("i-1"));
}

// Guards against a service of two kinds of processes in which one kind is taken for the other.
BOOST_AUTO_TEST_CASE(processes_oneFramesAndOneNever_eachIsTakenForWhatItIs)
{
    this->note("i-1", false, 4);
    this->note("i-2", true, 4);
    BOOST_TEST(this->endsByClosing("i-1"));
    BOOST_TEST(!this->endsByClosing("i-2"));
    this->note("i-2", false, 1);
    BOOST_TEST(!this->endsByClosing("i-2"));
}

// Guards against each process of a service that never frames being learned anew.
BOOST_AUTO_TEST_CASE(process_isNewAndTheOthersNeverFrame_endsByClosing)
{
    this->note("i-1", false, 4);
    this->note("i-2", false, 3);
    this->note("i-3", false, 1);
    BOOST_TEST(this->endsByClosing("i-3"));
    // One that frames shows that the service is of two kinds.
    this->note("i-4", true, 1);
    BOOST_TEST(!this->endsByClosing("i-3"));
    BOOST_TEST(this->endsByClosing("i-1"));
}

// Guards against the habit of a process being taken for that of its successor.
BOOST_AUTO_TEST_CASE(process_isReplaced_habitIsLearnedAnew)
{
    this->note("i-1", true, 1);
    this->note("i-1", false, 4, 2);
    BOOST_TEST(this->endsByClosing("i-1", 2));
    BOOST_TEST(!this->endsByClosing("i-1", 1));
    this->note("i-1", true, 1, 3);
    this->note("i-1", false, 4, 3);
    BOOST_TEST(!this->endsByClosing("i-1", 3));
}

// Guards against a memory that grows with each endpoint that there ever was.
BOOST_AUTO_TEST_CASE(endpoints_moreThanAreKept_theLongestSilentIsForgotten)
{
    this->note("first", false, 4);
    this->note("second", false, 4);
    this->note("first", false, 1);
    for (int i = 0; i < 4095; ++i)
        this->note("i-" + std::to_string(i), true, 1);
    BOOST_TEST(this->habits.byEndpoint.size() == 4096u);
    BOOST_TEST(this->endsByClosing("first"));
    BOOST_TEST(!this->endsByClosing("second"));
}

BOOST_AUTO_TEST_SUITE_END()
