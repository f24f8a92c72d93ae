#include "Node/AdmissionGate.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Tanagerbay::Node {

namespace asio = boost::asio;

using Common::Counter;
using Common::ErrorCode;

namespace {

constexpr Common::Milliseconds kMinRetryAfter{100};

Common::Error overloadedError(Common::Duration retryAfter)
{
    const auto after = std::chrono::duration_cast<Common::Milliseconds>(retryAfter);
    return {ErrorCode::Overloaded, "the request would miss its deadline", Common::Ran::No,
            std::max(after, kMinRetryAfter)};
}

} // namespace

AdmissionGate::Ticket::Ticket(AdmissionGate *gate, std::shared_ptr<Admission::Waiter> waiter)
    : gate(gate), waiter(std::move(waiter))
{
}

AdmissionGate::Ticket::~Ticket()
{
    if (this->gate)
        this->gate->finishService(*this->waiter);
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
    this->queue.maxWaiting = shared.settings.admission.maxQueued;
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

void AdmissionGate::wakeReleased(const Admission::Release &released)
{
    const auto wake = [this](Admission::Waiter *waiter, QueuedRequest::State state) {
        const auto found = this->queuedRequests.find(waiter);
        QueuedRequestPtr request = std::move(found->second);
        this->queuedRequests.erase(found);
        request->state = state;
        // The timer may only be used on the thread that waits on it.
        asio::post(request->wakeTimer.get_executor(), [request] { request->wakeTimer.cancel(); });
    };
    for (Admission::Waiter *waiter : released.admitted)
        wake(waiter, QueuedRequest::State::Admitted);
    for (Admission::Waiter *waiter : released.unservable)
        wake(waiter, QueuedRequest::State::WouldMissDeadline);
}

void AdmissionGate::admitWaiting()
{
    const Common::Time now = clockNow();
    const Admission::Window window = this->window(now);
    const std::lock_guard<std::mutex> guard(this->lock);
    this->wakeReleased(Admission::release(this->queue, window, now));
}

void AdmissionGate::finishService(const Admission::Waiter &waiter)
{
    {
        const std::lock_guard<std::mutex> guard(this->lock);
        Admission::finish(this->queue, waiter);
    }
    this->admitWaiting();
}

Http::Awaitable<Common::Result<AdmissionGate::Ticket>>
AdmissionGate::enter(RequestScope &scope, Common::Duration expected)
{
    if (scope.mustEnd)
        co_return tl::unexpected(drainTimeoutError(scope));
    auto request = std::make_shared<QueuedRequest>(scope.worker.context.get_executor());
    if (!this->shared.settings.admission.enabled)
        co_return Ticket();
    request->workspace = scope.access.workspace->id;
    request->workClass = scope.serviceLevel.priority == Lists::Priority::Patient
        ? Admission::WorkClass::Patient
        : Admission::WorkClass::Interactive;
    request->arrivedAt = scope.startedAt;
    request->deadline = scope.deadline;
    request->expected = expected;
    request->wakeTimer.expires_at(scope.deadline);
    const Common::Time now = clockNow();
    const Admission::Window window = this->window(now);
    Admission::Arrival arrival;
    {
        const std::lock_guard<std::mutex> guard(this->lock);
        arrival = Admission::arrive(this->queue, *request, window, now);
        if (arrival.verdict == Admission::ArrivalVerdict::Wait)
            this->queuedRequests[request.get()] = request;
    }
    if (arrival.verdict == Admission::ArrivalVerdict::Refuse) {
        this->shared.counters.add(Counter::AdmissionShed);
        co_return tl::unexpected(overloadedError(arrival.retryAfter));
    }
    if (arrival.verdict == Admission::ArrivalVerdict::Admit)
        co_return Ticket(this, request);
    this->shared.counters.add(Counter::AdmissionQueued);
    scope.cancelCalls = [request] { request->wakeTimer.cancel(); };
    boost::system::error_code ignored;
    co_await request->wakeTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    scope.cancelCalls = nullptr;
    {
        const std::lock_guard<std::mutex> guard(this->lock);
        Admission::leave(this->queue, *request);
        this->queuedRequests.erase(request.get());
    }
    if (request->state.load() == QueuedRequest::State::Admitted)
        co_return Ticket(this, request);
    if (scope.mustEnd)
        co_return tl::unexpected(drainTimeoutError(scope));
    this->shared.counters.add(Counter::AdmissionShed);
    co_return tl::unexpected(overloadedError(expected));
}

AdmissionGate::Stats AdmissionGate::stats()
{
    Stats stats;
    stats.permitted = this->window(clockNow()).maxInService;
    const std::lock_guard<std::mutex> guard(this->lock);
    stats.inService = this->queue.inService;
    stats.interactiveWaiting = this->queue.classes[0].waiting;
    stats.patientWaiting = this->queue.classes[1].waiting;
    return stats;
}

} // namespace Tanagerbay::Node
