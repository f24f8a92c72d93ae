#include "Admission/Queue.h"

#include <deque>

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;
using namespace Tanagerbay::Admission;

namespace {

struct QueueFixture
{
    Common::Time now = Common::Time(std::chrono::seconds(100));
    Queue queue;
    Window window{2};
    std::deque<Waiter> waiters;

    ~QueueFixture()
    {
        for (Waiter &waiter : this->waiters)
            leave(this->queue, waiter);
    }

    Waiter &add(const std::string &workspace, WorkClass workClass, int deadlineMs, int expectedMs)
    {
        Waiter &waiter = this->waiters.emplace_back();
        waiter.workspace = Common::WorkspaceId(workspace);
        waiter.workClass = workClass;
        waiter.arrivedAt = this->now;
        waiter.deadline = this->now + std::chrono::milliseconds(deadlineMs);
        waiter.expected = std::chrono::milliseconds(expectedMs);
        return waiter;
    }

    ArrivalVerdict enter(Waiter &waiter)
    {
        return arrive(this->queue, waiter, this->window, this->now).verdict;
    }

    // Fills the window with requests of another workspace.
    std::vector<Waiter *> fill()
    {
        std::vector<Waiter *> busy;
        for (std::uint32_t i = 0; i < this->window.maxInService; ++i) {
            busy.push_back(&this->add("busy", WorkClass::Interactive, 7000, 1000));
            this->enter(*busy.back());
        }
        return busy;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AdmissionQueue, QueueFixture)

BOOST_AUTO_TEST_CASE(arrival_freeWindow_isAdmitted)
{
    BOOST_TEST(
        (this->enter(this->add("w", WorkClass::Interactive, 7000, 1000)) == ArrivalVerdict::Admit));
}

BOOST_AUTO_TEST_CASE(arrival_fullWindow_waits)
{
    this->fill();
    BOOST_TEST(
        (this->enter(this->add("w", WorkClass::Interactive, 7000, 1000)) == ArrivalVerdict::Wait));
}

BOOST_AUTO_TEST_CASE(arrival_wouldMissDeadline_isRefused)
{
    BOOST_TEST(
        (this->enter(this->add("w", WorkClass::Interactive, 900, 1000)) == ArrivalVerdict::Refuse));
    this->fill();
    BOOST_TEST((this->enter(this->add("w", WorkClass::Interactive, 1300, 1000))
                == ArrivalVerdict::Refuse));
}

BOOST_AUTO_TEST_CASE(release_sameWorkspace_admitsEarliestDeadlineFirst)
{
    const auto busy = this->fill();
    Waiter &late = this->add("w", WorkClass::Interactive, 7000, 100);
    Waiter &early = this->add("w", WorkClass::Interactive, 5000, 100);
    this->enter(late);
    this->enter(early);
    finish(this->queue, *busy[0]);
    const Release released = release(this->queue, this->window, this->now);
    BOOST_REQUIRE(released.admitted.size() == 1u);
    BOOST_TEST(released.admitted[0] == &early);
}

BOOST_AUTO_TEST_CASE(release_burstOfOneWorkspace_doesNotDelayAnother)
{
    const auto busy = this->fill();
    for (int i = 0; i < 5; ++i)
        this->enter(this->add("busy", WorkClass::Interactive, 6000, 100));
    Waiter &small = this->add("small", WorkClass::Interactive, 7000, 100);
    BOOST_TEST((this->enter(small) == ArrivalVerdict::Wait));
    finish(this->queue, *busy[0]);
    const Release released = release(this->queue, this->window, this->now);
    BOOST_REQUIRE(released.admitted.size() == 1u);
    BOOST_TEST(released.admitted[0] == &small);
}

BOOST_AUTO_TEST_CASE(release_manyInteractive_doNotStarvePatient)
{
    this->window.maxInService = 1;
    this->add("w", WorkClass::Interactive, 60'000, 10);
    this->enter(this->waiters.back());
    Waiter &patient = this->add("p", WorkClass::Patient, 60'000, 10);
    this->enter(patient);
    for (int i = 0; i < 20; ++i)
        this->enter(this->add("w", WorkClass::Interactive, 50'000, 10));
    int turns = 0;
    const Waiter *running = &this->waiters.front();
    while (running != &patient && turns < 30) {
        finish(this->queue, *running);
        const Release released = release(this->queue, this->window, this->now);
        BOOST_REQUIRE(released.admitted.size() == 1u);
        running = released.admitted[0];
        ++turns;
    }
    BOOST_TEST(turns > 2);
    BOOST_TEST(turns < 10);
}

BOOST_AUTO_TEST_CASE(release_urgentPatient_goesFirst)
{
    const auto busy = this->fill();
    Waiter &patient = this->add("p", WorkClass::Patient, 5000, 1000);
    this->enter(patient);
    this->enter(this->add("w", WorkClass::Interactive, 60'000, 100));
    this->now += std::chrono::milliseconds(3600);
    finish(this->queue, *busy[0]);
    const Release released = release(this->queue, this->window, this->now);
    BOOST_REQUIRE(!released.admitted.empty());
    BOOST_TEST(released.admitted[0] == &patient);
}

BOOST_AUTO_TEST_CASE(release_unreachableDeadline_isDroppedWithoutService)
{
    this->fill();
    Waiter &waiting = this->add("w", WorkClass::Interactive, 3000, 1000);
    this->enter(waiting);
    this->now += std::chrono::milliseconds(2500);
    const Release released = release(this->queue, this->window, this->now);
    BOOST_REQUIRE(released.unservable.size() == 1u);
    BOOST_TEST(released.unservable[0] == &waiting);
}

BOOST_AUTO_TEST_CASE(window_otherInstancesBusy_keepsTheEvenShare)
{
    PoolView view;
    view.slots = 72;
    view.liveInstances = 7;
    view.others = 72;
    BOOST_TEST(windowOf(view).maxInService == 11u);
    view.others = 0;
    BOOST_TEST(windowOf(view).maxInService == 36u);
}

BOOST_AUTO_TEST_SUITE_END()
