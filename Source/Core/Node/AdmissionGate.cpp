#include "Node/AdmissionGate.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Tanagerbay::Node {

namespace asio = boost::asio;

using Common::Counter;
using Common::ErrorCode;

namespace {

constexpr Common::Milliseconds kLeastRetryAfter{100};

Common::Error refusal(Common::Duration retryAfter)
{
    const auto after = std::chrono::duration_cast<Common::Milliseconds>(retryAfter);
    return {ErrorCode::Overloaded, "the answer would not be ready in time", Common::Ran::No,
            std::max(after, kLeastRetryAfter)};
}

} // namespace

AdmissionGate::Ticket::Ticket(AdmissionGate *gate, std::shared_ptr<Admission::Waiter> waiter)
    : gate(gate), waiter(std::move(waiter))
{
}

AdmissionGate::Ticket::~Ticket()
{
    if (this->gate)
        this->gate->leaveService(*this->waiter);
}

AdmissionGate::Ticket::Ticket(Ticket &&other) noexcept
    : gate(std::exchange(other.gate, nullptr)), waiter(std::move(other.waiter))
{
}

AdmissionGate::Ticket &AdmissionGate::Ticket::operator=(Ticket &&other) noexcept
{
    std::swap(this->gate, other.gate);
    std::swap(this->waiter, other.waiter);
    return *this;
}

AdmissionGate::AdmissionGate(SharedState &shared, std::string pool)
    : shared(shared), pool(std::move(pool))
{
    this->queue.mostWaiting = shared.settings.admission.maxQueued;
}

Admission::Window AdmissionGate::window(Common::Time now)
{
    Admission::PoolView view;
    view.occupancyTarget = this->shared.settings.admission.occupancyTarget;
    {
        PoolShard &shard = this->shared.poolNamed(this->pool);
        const std::lock_guard<std::mutex> guard(shard.lock);
        const Routing::Capacity capacity = Routing::capacityOf(shard.pool, now);
        view.slots = capacity.slots;
        view.others = capacity.others;
        view.own = capacity.own;
    }
    view.liveInstances = this->shared.liveInstances.load(std::memory_order_relaxed);
    return Admission::windowOf(view);
}

void AdmissionGate::wakeAll(const Admission::Release &released)
{
    const auto wake = [this](Admission::Waiter *waiter, Place::State state) {
        const auto found = this->places.find(waiter);
        PlacePtr place = std::move(found->second);
        this->places.erase(found);
        place->state = state;
        // The timer belongs to the thread that waits on it.
        asio::post(place->wake.get_executor(), [place] { place->wake.cancel(); });
    };
    for (Admission::Waiter *waiter : released.admitted)
        wake(waiter, Place::State::Admitted);
    for (Admission::Waiter *waiter : released.hopeless)
        wake(waiter, Place::State::Hopeless);
}

void AdmissionGate::pump()
{
    const Common::Time now = clockNow();
    const Admission::Window window = this->window(now);
    const std::lock_guard<std::mutex> guard(this->lock);
    this->wakeAll(Admission::release(this->queue, window, now));
}

void AdmissionGate::leaveService(const Admission::Waiter &waiter)
{
    {
        const std::lock_guard<std::mutex> guard(this->lock);
        Admission::finish(this->queue, waiter);
    }
    this->pump();
}

Http::Awaitable<Common::Result<AdmissionGate::Ticket>>
AdmissionGate::enter(RequestScope &scope, Common::Duration expected)
{
    auto place = std::make_shared<Place>(scope.worker.context.get_executor());
    if (!this->shared.settings.admission.enabled)
        co_return Ticket();
    place->workspace = scope.access.workspace->id;
    place->workClass = scope.serviceLevel.priority == Lists::Priority::Patient
        ? Admission::WorkClass::Patient
        : Admission::WorkClass::Interactive;
    place->arrivedAt = scope.startedAt;
    place->deadline = scope.deadline;
    place->expected = expected;
    place->wake.expires_at(scope.deadline);
    const Common::Time now = clockNow();
    const Admission::Window window = this->window(now);
    Admission::Arrival arrival;
    {
        const std::lock_guard<std::mutex> guard(this->lock);
        arrival = Admission::arrive(this->queue, *place, window, now);
        if (arrival.verdict == Admission::ArrivalVerdict::Wait)
            this->places[place.get()] = place;
    }
    if (arrival.verdict == Admission::ArrivalVerdict::Refuse) {
        this->shared.counters.add(Counter::AdmissionShed);
        co_return tl::unexpected(refusal(arrival.retryAfter));
    }
    if (arrival.verdict == Admission::ArrivalVerdict::Admit)
        co_return Ticket(this, place);
    this->shared.counters.add(Counter::AdmissionQueued);
    scope.cancelCalls = [place] { place->wake.cancel(); };
    boost::system::error_code ignored;
    co_await place->wake.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    scope.cancelCalls = nullptr;
    {
        const std::lock_guard<std::mutex> guard(this->lock);
        Admission::leave(this->queue, *place);
        this->places.erase(place.get());
    }
    if (place->state.load() == Place::State::Admitted)
        co_return Ticket(this, place);
    this->shared.counters.add(Counter::AdmissionShed);
    co_return tl::unexpected(refusal(expected));
}

AdmissionGate::Figures AdmissionGate::figures()
{
    Figures figures;
    figures.permitted = this->window(clockNow()).permitted;
    const std::lock_guard<std::mutex> guard(this->lock);
    figures.inService = this->queue.inService;
    figures.interactiveWaiting = this->queue.lines[0].waiting;
    figures.patientWaiting = this->queue.lines[1].waiting;
    return figures;
}

} // namespace Tanagerbay::Node
