// Admission control for the engine pools: one queue per pool, shared by all threads.
#pragma once

#include "Admission/Queue.h"
#include "Node/RequestScope.h"

#include <boost/asio/steady_timer.hpp>

namespace Tanagerbay::Node {

// The admission queue of one pool, protected by its own lock.
class AdmissionGate
{
public:
    // Marks an admitted request as in service until the ticket is destroyed.
    class Ticket
    {
    public:
        Ticket() = default;
        Ticket(AdmissionGate *gate, std::shared_ptr<Admission::Waiter> waiter);
        ~Ticket();
        Ticket(Ticket &&other) noexcept;
        Ticket &operator=(Ticket &&other) noexcept;
        Ticket(const Ticket &) = delete;
        Ticket &operator=(const Ticket &) = delete;

    private:
        AdmissionGate *gate = nullptr;
        std::shared_ptr<Admission::Waiter> waiter;
    };

    AdmissionGate(SharedState &shared, std::string pool);

    // Waits until the request is admitted. An error means that the request did not run.
    Http::Awaitable<Common::Result<Ticket>> enter(RequestScope &scope, Common::Duration expected);
    // Admits waiting requests as far as the pool allows. Called periodically as well, since the
    // pool's capacity can change without an event at this gate.
    void admitWaiting();

    struct Stats
    {
        std::uint32_t inService = 0;
        std::size_t interactiveWaiting = 0;
        std::size_t patientWaiting = 0;
        std::uint32_t permitted = 0;
    };
    Stats stats();

private:
    struct QueuedRequest : Admission::Waiter
    {
        enum class State { Waiting, Admitted, WouldMissDeadline };

        explicit QueuedRequest(const boost::asio::any_io_executor &executor) : wakeTimer(executor)
        {
        }
        boost::asio::steady_timer wakeTimer;
        std::atomic<State> state{State::Waiting};
    };
    using QueuedRequestPtr = std::shared_ptr<QueuedRequest>;

    Admission::Window window(Common::Time now);
    void finishService(const Admission::Waiter &waiter);
    void wakeReleased(const Admission::Release &released);

    SharedState &shared;
    std::string pool;
    std::mutex lock;
    Admission::Queue queue;
    // Owns the requests in the queue, by address.
    std::map<const Admission::Waiter *, QueuedRequestPtr> queuedRequests;
};

} // namespace Tanagerbay::Node
