#include "Limits/Shares.h"
#include "Limits/Slot.h"

#include <deque>
#include <random>

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;
using namespace Tanagerbay::Limits;

namespace {

constexpr std::size_t kInstances = 7;
constexpr Common::Milliseconds kPeriod{10'000};
const Amount kUnlimited{1000, 1e9};

struct ShareFixture
{
    Common::Time now = Common::Time(std::chrono::seconds(100));
    Common::WorkspaceId workspace{"w"};
    Amount limit{70, 140};
    ShareHolder holder;

    ShareFixture()
    {
        this->holder.base = baseShare(this->limit, 0, kInstances, this->workspace);
        this->holder.tokensUpdatedAt = this->now;
        this->holder.demandMeasuredAt = this->now;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LimitShares, ShareFixture)

BOOST_AUTO_TEST_CASE(baseShares_anyLimit_addUpToIt)
{
    for (std::uint32_t concurrency : {0u, 1u, 6u, 7u, 8u, 70u, 73u}) {
        std::uint32_t total = 0;
        for (std::size_t slot = 0; slot < kInstances; ++slot)
            total += baseShare({concurrency, 1}, slot, kInstances, this->workspace).concurrency;
        BOOST_TEST(total == concurrency);
    }
}

BOOST_AUTO_TEST_CASE(admit_beyondTheBaseShare_isRefused)
{
    const Common::Time later = this->now + std::chrono::seconds(1);
    for (int i = 0; i < 10; ++i)
        BOOST_TEST((admit(this->holder, later, later + std::chrono::seconds(i)).verdict
                    == ShareVerdict::Admitted));
    BOOST_TEST((admit(this->holder, later, later + std::chrono::seconds(20)).verdict
                == ShareVerdict::OverConcurrency));
}

BOOST_AUTO_TEST_CASE(lend_concurrencyInUse_isNotLent)
{
    const Common::Time later = this->now + std::chrono::seconds(1);
    for (int i = 0; i < 4; ++i)
        admit(this->holder, later, later);
    const Amount lent = lend(this->holder, kUnlimited, kPeriod, false, later);
    BOOST_TEST(lent.concurrency <= 6u);
    BOOST_TEST(lend(this->holder, kUnlimited, kPeriod, false, later).concurrency == 0u);
}

BOOST_AUTO_TEST_CASE(lend_lessThanBefore_keepsTheLargerLoanUntilItExpires)
{
    const Amount large = lend(this->holder, kUnlimited, kPeriod, false, this->now);
    BOOST_TEST(large.concurrency == 9u);
    const Common::Time later = this->now + std::chrono::seconds(1);
    BOOST_TEST(lend(this->holder, {2, 1}, kPeriod, true, later).concurrency == 2u);
    // The borrower may use the larger loan until it expires.
    const Common::Time stillOut = this->now + kPeriod - std::chrono::milliseconds(1);
    for (int i = 0; i < 3; ++i)
        admit(this->holder, stillOut, stillOut);
    BOOST_TEST(this->holder.baseInUse == 1u);
    lend(this->holder, {2, 1}, kPeriod, true, stillOut);
    const Common::Time back = this->now + kPeriod;
    admit(this->holder, back, back + std::chrono::seconds(1));
    BOOST_TEST(this->holder.baseInUse == 2u);
}

BOOST_AUTO_TEST_CASE(borrowing_lowDemand_requestsLittle)
{
    Coordinator coordinator;
    coordinator.borrowers[Common::InstanceId("a")].demand = {10, 20};
    const Amount each = amountToBorrowPerLender(coordinator, 7);
    BOOST_TEST(each.concurrency == 2u);
    BOOST_TEST(each.ratePerSecond < 4.0);
}

BOOST_AUTO_TEST_CASE(grant_expiringBeforeTheDeadline_isNotUsed)
{
    lend(this->holder, kUnlimited, kPeriod, false, this->now);
    this->holder.base = {};
    receiveGrant(this->holder, {5, 100}, 1, std::chrono::seconds(5), this->now);
    const Common::Time soon = this->now + std::chrono::milliseconds(500);
    BOOST_TEST((admit(this->holder, soon + std::chrono::seconds(7), soon).verdict
                == ShareVerdict::OverConcurrency));
    BOOST_TEST((admit(this->holder, soon + std::chrono::seconds(3), soon).verdict
                == ShareVerdict::Admitted));
}

BOOST_AUTO_TEST_CASE(grant_olderNumber_isIgnored)
{
    receiveGrant(this->holder, {5, 10}, 2, kPeriod, this->now);
    receiveGrant(this->holder, {9, 10}, 1, kPeriod, this->now);
    BOOST_TEST(this->holder.grant.concurrency == 5u);
}

BOOST_AUTO_TEST_CASE(coordinator_twoBorrowers_areNotGrantedMoreThanWasLent)
{
    Coordinator coordinator;
    recordLoan(coordinator, Common::InstanceId("l"), {10, 20}, kPeriod, this->now);
    const ShareRequest first{Common::InstanceId("a"), {8, 16}, 0, 0};
    const ShareRequest second{Common::InstanceId("b"), {8, 16}, 0, 0};
    const GrantedShare a = grantShare(coordinator, first, this->now);
    const GrantedShare b = grantShare(coordinator, second, this->now);
    BOOST_TEST(a.amount.concurrency + b.amount.concurrency <= 10u);
    BOOST_TEST(a.amount.ratePerSecond + b.amount.ratePerSecond <= 20.0);
}

BOOST_AUTO_TEST_CASE(coordinator_loanExpired_grantsNothing)
{
    Coordinator coordinator;
    recordLoan(coordinator, Common::InstanceId("l"), {10, 20}, kPeriod, this->now);
    const ShareRequest request{Common::InstanceId("a"), {8, 16}, 0, 0};
    const GrantedShare granted = grantShare(coordinator, request, this->now + kPeriod);
    BOOST_TEST(granted.number == 0u);
}

BOOST_AUTO_TEST_CASE(coordinator_smallerGrantNotApplied_countsTheLargerOne)
{
    Coordinator coordinator;
    recordLoan(coordinator, Common::InstanceId("l"), {10, 20}, kPeriod, this->now);
    const Common::InstanceId a("a");
    const Common::InstanceId b("b");
    const GrantedShare large = grantShare(coordinator, {a, {10, 20}, 0, 0}, this->now);
    BOOST_TEST(large.amount.concurrency == 10u);
    // The reply with the smaller grant may be lost, so the larger grant still counts.
    grantShare(coordinator, {a, {1, 1}, 0, large.number}, this->now);
    const GrantedShare other = grantShare(coordinator, {b, {10, 20}, 0, 0}, this->now);
    BOOST_TEST(other.amount.concurrency == 0u);
}

// Guards against exceeding the limit while shares move between seven holders: the coordinator
// changes, and messages are lost or delayed by up to 4 s.
BOOST_AUTO_TEST_CASE(shares_randomLossAndDelay_neverExceedTheLimit)
{
    struct Message
    {
        Common::Time at;
        std::function<void()> deliver;
    };
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        std::mt19937_64 random(seed);
        std::vector<ShareHolder> holders(kInstances);
        std::vector<int> borrowerOf(kInstances, -1);
        std::vector<Coordinator> coordinators(kInstances);
        std::vector<std::deque<std::pair<Common::Time, ShareSource>>> running(kInstances);
        std::vector<Message> messages;
        Common::Time time = this->now;
        for (std::size_t i = 0; i < kInstances; ++i) {
            holders[i].base = baseShare(this->limit, i, kInstances, this->workspace);
            holders[i].tokensUpdatedAt = time;
        }
        const auto send = [&](std::function<void()> deliver) {
            if (random() % 100 < 15)
                return;
            messages.push_back(
                {time + std::chrono::milliseconds(random() % 4000), std::move(deliver)});
        };
        std::uint32_t most = 0;
        for (int step = 0; step < 1200; ++step) {
            time += std::chrono::milliseconds(50);
            std::vector<Message> due;
            std::erase_if(messages, [&](Message &message) {
                const bool now = message.at <= time;
                if (now)
                    due.push_back(std::move(message));
                return now;
            });
            for (Message &message : due)
                message.deliver();
            // The coordinator changes every 10 s, and requests go to the previous one half of the
            // time.
            const int current = (step / 200) % static_cast<int>(kInstances);
            const int view = random() % 2 ? current : (current + 6) % 7;
            if (step % 10 == 0) {
                const Common::Time asked = time;
                for (std::size_t i = 0; i < kInstances; ++i) {
                    send([&, i, asked, current] {
                        const bool same = borrowerOf[i] == current;
                        const Amount wanted{static_cast<std::uint32_t>(random() % 14),
                                            static_cast<double>(random() % 30)};
                        const Amount lent = lend(holders[i], wanted, kPeriod, same, time);
                        if (lent.concurrency == 0 && lent.ratePerSecond <= 0)
                            return;
                        borrowerOf[i] = current;
                        send([&, i, asked, lent, current] {
                            recordLoan(coordinators[current], Common::InstanceId(std::to_string(i)),
                                       lent, kPeriod, asked);
                        });
                    });
                }
            }
            const std::size_t hot = (step / 300) % 2 ? 2 : 5;
            for (std::size_t i = 0; i < kInstances; ++i) {
                const int attempts = i == hot ? 3 : (random() % 8 == 0 ? 1 : 0);
                for (int k = 0; k < attempts; ++k) {
                    const Common::Time deadline
                        = time + std::chrono::milliseconds(500 + random() % 7000);
                    const ShareDecision decision = admit(holders[i], deadline, time);
                    if (decision.verdict == ShareVerdict::Admitted)
                        running[i].push_back({deadline, decision.source});
                }
                std::erase_if(running[i], [&](const auto &entry) {
                    if (entry.first > time)
                        return false;
                    release(holders[i], entry.second);
                    return true;
                });
                if (step % 5 != 0)
                    continue;
                const Demand demand = measureDemand(holders[i], time);
                const ShareRequest request{Common::InstanceId(std::to_string(i)), demand,
                                           holders[i].grantInUse, holders[i].grantNumber};
                const Common::Time asked = time;
                send([&, i, view, request, asked] {
                    const GrantedShare granted = grantShare(coordinators[view], request, time);
                    if (granted.number == 0)
                        return;
                    send([&, i, granted, asked] {
                        receiveGrant(holders[i], granted.amount, granted.number, granted.validFor,
                                     asked);
                    });
                });
            }
            std::uint32_t inUse = 0;
            for (const auto &entries : running)
                inUse += static_cast<std::uint32_t>(entries.size());
            most = std::max(most, inUse);
            BOOST_REQUIRE_MESSAGE(inUse <= this->limit.concurrency,
                                  "seed " << seed << " step " << step << ": " << inUse);
        }
        BOOST_TEST(most > this->limit.concurrency / 7);
    }
}

BOOST_AUTO_TEST_CASE(slot_released_isChosenAndWaitsOnlyForItsLoans)
{
    std::vector<SlotRow> rows(3);
    rows[0] = {4, Common::InstanceId("a"), 1, false};
    rows[1] = {2, Common::InstanceId("b"), 1, true, Common::Milliseconds(700)};
    rows[2] = {9, Common::InstanceId("c"), 1, false};
    const auto choice
        = chooseSlot(rows, Common::InstanceId("d"), [](const auto &) { return true; });
    BOOST_REQUIRE(choice.has_value());
    BOOST_TEST(choice->slot == 1u);
    BOOST_TEST(!choice->isTakeover);
    BOOST_TEST(choice->wait.count() == 700);
}

BOOST_AUTO_TEST_CASE(slot_heldByALiveInstance_isChosenOnlyByThatInstance)
{
    const std::vector<SlotRow> rows(1, {4, Common::InstanceId("a"), 1, false});
    const auto alive = [](const Common::InstanceId &) { return false; };
    BOOST_TEST(!chooseSlot(rows, Common::InstanceId("d"), alive).has_value());
    BOOST_TEST(chooseSlot(rows, Common::InstanceId("a"), alive)->isTakeover);
}

BOOST_AUTO_TEST_SUITE_END()
