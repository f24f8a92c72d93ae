// Admission to the pools of engines: one queue a pool, shared by all threads.
#pragma once

#include "Admission/Queue.h"
#include "Node/RequestScope.h"

#include <boost/asio/steady_timer.hpp>

namespace Tanagerbay::Node {

// The queue of one pool, under its own lock.
class AdmissionGate
{
public:
    // A request's place in the queue or in service. Ends its service when it is destroyed.
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

    // Waits until the request may begin. The error is of a request that did not run.
    Http::Awaitable<Common::Result<Ticket>> enter(RequestScope &scope, Common::Duration expected);
    // Looks again at who may begin: the pool's state may have changed without an event here.
    void pump();

    struct Figures
    {
        std::uint32_t inService = 0;
        std::size_t interactiveWaiting = 0;
        std::size_t patientWaiting = 0;
        std::uint32_t permitted = 0;
    };
    Figures figures();

private:
    struct Place : Admission::Waiter
    {
        enum class State { Waiting, Admitted, Hopeless };

        explicit Place(const boost::asio::any_io_executor &executor) : wake(executor)
        {
        }
        boost::asio::steady_timer wake;
        std::atomic<State> state{State::Waiting};
    };
    using PlacePtr = std::shared_ptr<Place>;

    Admission::Window window(Common::Time now);
    void leaveService(const Admission::Waiter &waiter);
    void wakeAll(const Admission::Release &released);

    SharedState &shared;
    std::string pool;
    std::mutex lock;
    Admission::Queue queue;
    // Keeps waiting places alive, by their address.
    std::map<const Admission::Waiter *, PlacePtr> places;
};

} // namespace Tanagerbay::Node
