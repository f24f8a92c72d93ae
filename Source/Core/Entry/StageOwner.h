// Runs the queues of the stage services that this instance owns: sends their calls and tells who
// handed pieces in what became of them.
#pragma once

#include "Entry/State.h"
#include "Staging/StageQueue.h"

#include <functional>

namespace Tanagerbay::Entry {

// What whoever handed a piece in wants to hear.
struct PieceListener
{
    // Runs once the piece is settled.
    std::function<void(const Staging::SettledPiece &)> settled;
    // Runs when an endpoint has worked on the piece for so long that it has fetched the inputs.
    std::function<void()> fetched;
};

class StageOwner
{
public:
    explicit StageOwner(State &state);

    // Takes a new catalog or a new list of endpoints.
    void refresh();
    // Hands a piece in. Returns nothing where the service does no stages.
    std::optional<Staging::PieceTicket>
    submit(const std::string &service, Staging::PieceRequest request, PieceListener listener);
    // Sends what can be sent. Call it after the last piece of a group was handed in.
    void pump(const std::string &service);
    void withdraw(const std::string &service, Staging::PieceTicket ticket);
    // Takes the pieces that only wait out of the queue, so that another instance queues them.
    std::vector<Staging::PieceTicket> takeWaiting(const std::string &service);
    // Services with pieces in their queues here.
    std::vector<std::string> servicesWithPieces() const;
    void release(const std::string &service, const Common::EndpointId &maker,
                 const std::string &handle);
    // Notes that the result was most likely fetched and may go where its room is needed.
    void markSpare(const std::string &service, const Common::EndpointId &maker,
                   const std::string &handle);
    // Pieces that wait or are worked on, over all services.
    std::size_t openPieces() const;

private:
    struct Queue
    {
        Staging::StageQueue queue;
        std::unordered_map<Staging::PieceTicket, PieceListener> listeners;
        std::unique_ptr<boost::asio::steady_timer> wake;
        std::optional<Common::Time> wakeAt;
        std::unique_ptr<boost::asio::steady_timer> freeTimer;
        bool freeTimerRuns = false;
    };

    Queue *find(const std::string &service);
    void armWake(const std::string &service, Queue &queue);
    void armFreeTimer(const std::string &service, Queue &queue);
    void sendFreeOrders(Queue &queue);
    void settle(Queue &queue, const std::vector<Staging::SettledPiece> &settled);
    Http::Awaitable<void> runCall(std::string service, Staging::PlannedCall call);
    Http::Awaitable<void> tellFetched(std::string service, Staging::CallNumber call,
                                      std::vector<Staging::PieceTicket> tickets);
    Http::Awaitable<void> runFreeOrder(Staging::FreeOrder order);

    State &state;
    std::map<std::string, Queue> queues;
};

} // namespace Tanagerbay::Entry
