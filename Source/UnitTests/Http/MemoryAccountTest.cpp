#include "Http/MemoryAccount.h"

#include <list>

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;
using Http::HeldKind;
using Http::Holder;
using Http::HolderPhase;

namespace {

constexpr std::size_t kMegabyte = 1 << 20;

struct MemoryAccountFixture
{
    MemoryAccountFixture()
    {
        this->account.maxBytes = 16 * kMegabyte;
        this->account.maxConnections = 100;
    }
    ~MemoryAccountFixture()
    {
        for (Holder &holder : this->holders)
            Http::remove(this->account, holder);
    }

    Common::Time at(std::int64_t milliseconds) const
    {
        return this->start + Common::Milliseconds(milliseconds);
    }

    Holder &connect(std::int64_t milliseconds)
    {
        Holder &holder = this->holders.emplace_back();
        holder.evict = [this, &holder] { this->evicted.push_back(&holder); };
        this->isAdmitted = Http::admit(this->account, holder, this->at(milliseconds));
        return holder;
    }

    // A connection that began to send a body and has sent so many bytes of it.
    Holder &sender(std::size_t bytes, std::int64_t milliseconds)
    {
        Holder &holder = this->connect(milliseconds);
        Http::beginPhase(holder, HolderPhase::Reading, this->at(milliseconds));
        BOOST_TEST(
            Http::hold(this->account, holder, HeldKind::Body, bytes, this->at(milliseconds)));
        return holder;
    }

    bool holdBody(Holder &holder, std::size_t bytes, std::int64_t milliseconds)
    {
        return Http::hold(this->account, holder, HeldKind::Body, bytes, this->at(milliseconds));
    }

    const Common::Time start = Common::Time(std::chrono::seconds(100));
    Http::MemoryAccount account;
    std::list<Holder> holders;
    std::vector<Holder *> evicted;
    bool isAdmitted = false;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(MemoryAccounts, MemoryAccountFixture)

// Load: bodies that stop short of their end, and one more caller.
BOOST_AUTO_TEST_CASE(hold_bodiesThatStopFillTheRoom_theLargestAndOldestGoesFirst)
{
    Holder &small = this->sender(2 * kMegabyte, 0);
    Holder &large = this->sender(8 * kMegabyte, 0);
    this->sender(3 * kMegabyte, 1900);
    Holder &ordinary = this->sender(1000, 1999);
    BOOST_TEST(this->holdBody(ordinary, 2 * kMegabyte, 2000));
    BOOST_REQUIRE(this->evicted.size() == 1u);
    BOOST_TEST(this->evicted.front() == &large);
    BOOST_TEST(!small.evicted.has_value());
    BOOST_TEST(!ordinary.evicted.has_value());
}

BOOST_AUTO_TEST_CASE(hold_askerIsTheWorst_isRefusedAndNobodyGoes)
{
    this->sender(kMegabyte, 1900);
    Holder &worst = this->sender(12 * kMegabyte, 0);
    BOOST_TEST(!this->holdBody(worst, 15 * kMegabyte, 2000));
    BOOST_TEST(this->evicted.empty());
    BOOST_TEST(Http::heldBytes(this->account) < 14 * kMegabyte);
}

// Guards against requests that are cut though they may have run.
BOOST_AUTO_TEST_CASE(hold_roomIsTakenByRequestsBeingHandled_refusesTheNewOne)
{
    Holder &handled = this->sender(13 * kMegabyte, 0);
    Http::beginPhase(handled, HolderPhase::Handling, this->at(10));
    Holder &late = this->sender(1000, 5000);
    BOOST_TEST(!this->holdBody(late, 4 * kMegabyte, 5001));
    BOOST_TEST(this->evicted.empty());
}

// Guards against callers that go without making the room that is wanted.
BOOST_AUTO_TEST_CASE(hold_roomCannotBeMade_nobodyGoes)
{
    Http::beginPhase(this->sender(13 * kMegabyte, 0), HolderPhase::Handling, this->at(10));
    this->sender(60'000, 0);
    Holder &large = this->sender(1000, 5000);
    BOOST_TEST(!this->holdBody(large, 4 * kMegabyte, 5001));
    BOOST_TEST(this->evicted.empty());
}

// Load: large bodies that are being handled, and ordinary callers beside them.
BOOST_AUTO_TEST_CASE(hold_largeBodiesTakeTheirRoom_smallRequestsAreStillRead)
{
    for (int i = 0; i < 13; ++i)
        Http::beginPhase(this->sender(kMegabyte, 0), HolderPhase::Handling, this->at(0));
    Holder &large = this->sender(1000, 1);
    BOOST_TEST(!this->holdBody(large, 2 * kMegabyte, 2));
    Holder &ordinary = this->sender(1000, 1);
    BOOST_TEST(this->holdBody(ordinary, 50'000, 2));
}

// Load: answers that are not read.
BOOST_AUTO_TEST_CASE(holdAnyway_answersAreNotRead_theOldestGoes)
{
    std::vector<Holder *> readers;
    for (int i = 0; i < 3; ++i) {
        Holder &reader = this->connect(i * 1000);
        Http::beginPhase(reader, HolderPhase::Writing, this->at(i * 1000));
        Http::holdAnyway(this->account, reader, HeldKind::Answer, 5 * kMegabyte,
                         this->at(i * 1000));
        readers.push_back(&reader);
    }
    Holder &next = this->connect(3000);
    Http::holdAnyway(this->account, next, HeldKind::Answer, 4 * kMegabyte, this->at(3000));
    BOOST_REQUIRE(!this->evicted.empty());
    BOOST_TEST(this->evicted.front() == readers.front());
    BOOST_TEST(!next.evicted.has_value());
}

// Guards against streams that are closed in the middle of an ordinary write.
BOOST_AUTO_TEST_CASE(holdAnyway_answersAreJustBeingWritten_nobodyGoes)
{
    Holder &reader = this->connect(0);
    Http::beginPhase(reader, HolderPhase::Writing, this->at(0));
    Http::holdAnyway(this->account, reader, HeldKind::Answer, 14 * kMegabyte, this->at(0));
    Holder &next = this->connect(0);
    Http::holdAnyway(this->account, next, HeldKind::Answer, 4 * kMegabyte, this->at(999));
    BOOST_TEST(this->evicted.empty());
    Http::holdAnyway(this->account, next, HeldKind::Answer, 5 * kMegabyte, this->at(1000));
    BOOST_TEST(reader.evicted.has_value());
}

// Guards against small answers that are thrown away though their requests have run.
BOOST_AUTO_TEST_CASE(holdResponse_roomIsTaken_onlySmallOnesAreStillHeld)
{
    constexpr std::size_t kSmall = 50'000;
    Http::holdAnyway(this->account, this->connect(0), HeldKind::Body, 16 * kMegabyte, this->at(0));
    BOOST_TEST(Http::holdResponse(this->account, kSmall, this->at(0)));
    BOOST_TEST(!Http::holdResponse(this->account, kSmall, this->at(0), kSmall));
    BOOST_TEST(!Http::holdResponse(this->account, kMegabyte, this->at(0)));
    Http::releaseResponse(this->account, kSmall);
    BOOST_TEST(this->account.held.at(static_cast<std::size_t>(HeldKind::Response)) == 0u);
}

BOOST_AUTO_TEST_CASE(holdResponse_noRoom_isRefusedUntilItIsGivenBack)
{
    BOOST_TEST(Http::holdResponse(this->account, 12 * kMegabyte, this->at(0)));
    BOOST_TEST(!Http::holdResponse(this->account, 4 * kMegabyte, this->at(0)));
    Http::releaseResponse(this->account, 12 * kMegabyte);
    BOOST_TEST(Http::holdResponse(this->account, 4 * kMegabyte, this->at(0)));
    Http::releaseResponse(this->account, 4 * kMegabyte);
    BOOST_TEST(Http::heldBytes(this->account) == 0u);
}

BOOST_AUTO_TEST_CASE(remove_evictedOne_givesAllBack)
{
    Holder &large = this->sender(12 * kMegabyte, 0);
    Holder &ordinary = this->sender(1000, 1000);
    BOOST_TEST(this->holdBody(ordinary, 4 * kMegabyte, 1001));
    BOOST_TEST(large.evicted.has_value());
    Http::remove(this->account, large);
    Http::remove(this->account, ordinary);
    BOOST_TEST(Http::heldBytes(this->account) == 0u);
    BOOST_TEST(this->account.leavingBytes == 0u);
    BOOST_TEST(this->account.leavingConnections == 0u);
}

// Load: connections that send nothing, or a part of a head, and stay.
BOOST_AUTO_TEST_CASE(admit_connectionsThatStayTakeAllPlaces_theOldestUnfinishedRequestGoes)
{
    this->account.maxConnections = 3;
    Holder &served = this->connect(0);
    served.hasCompleted = true;
    Holder &silent = this->connect(500);
    Holder &unfinished = this->sender(100, 1000);
    this->connect(3000);
    BOOST_TEST(this->isAdmitted);
    this->connect(3000);
    BOOST_TEST(this->isAdmitted);
    this->connect(3000);
    BOOST_TEST(this->isAdmitted);
    const std::vector<Holder *> expected{&unfinished, &silent, &served};
    BOOST_TEST(this->evicted == expected, boost::test_tools::per_element());
    this->connect(3001);
    BOOST_TEST(!this->isAdmitted);
}

BOOST_AUTO_TEST_CASE(admit_allAreNewOrBeingHandled_isRefused)
{
    this->account.maxConnections = 2;
    Http::beginPhase(this->connect(0), HolderPhase::Handling, this->at(0));
    this->connect(4500);
    this->connect(5000);
    BOOST_TEST(!this->isAdmitted);
    BOOST_TEST(this->evicted.empty());
}

// Guards against a bound that the rest of the process makes untrue.
BOOST_AUTO_TEST_CASE(shareForCallers_restOfTheProcessGrows_shrinksDownToASixteenth)
{
    const std::size_t machine = 120 * kMegabyte;
    BOOST_TEST(Http::shareForCallers(machine, 10 * kMegabyte, 0) == 48 * kMegabyte);
    BOOST_TEST(Http::shareForCallers(machine, 50 * kMegabyte, 48 * kMegabyte) == 48 * kMegabyte);
    BOOST_TEST(Http::shareForCallers(machine, 80 * kMegabyte, 0) == 25 * kMegabyte);
    BOOST_TEST(Http::shareForCallers(machine, 200 * kMegabyte, 0) == 7'864'320u);
}

BOOST_AUTO_TEST_CASE(connectionsForCallers_fewDescriptors_leavesSomeForEndpoints)
{
    BOOST_TEST(Http::connectionsForCallers(3075) == 2154u);
    BOOST_TEST(Http::connectionsForCallers(300) == 75u);
    BOOST_TEST(Http::connectionsForCallers(100) == 16u);
}

BOOST_AUTO_TEST_SUITE_END()
