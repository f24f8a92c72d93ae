// Runs the queues of the stage services that this instance owns: sends the stage calls and notifies
// the submitters of the outcome of their pieces.
#pragma once

#include "Entry/StageCosts.h"

#include <functional>

namespace Tanagerbay::Entry {

// Callbacks to the submitter of a piece.
struct PieceListener
{
    // Called once, when the piece is settled.
    std::function<void(const Staging::SettledPiece &)> settled;
    // Called when an endpoint has worked on the piece long enough to have fetched its inputs.
    std::function<void()> fetched;
};

class StageOwner
{
public:
    explicit StageOwner(State &state);

    // Applies a new catalog or a new list of endpoints to all queues.
    void refresh();
    // Queues a piece. Returns nothing if the service is not a stage service.
    std::optional<Staging::PieceTicket>
    submit(const std::string &service, Staging::PieceRequest request, PieceListener listener);
    // Sends all calls that can be sent now. Call it after the last piece of a group was submitted.
    void dispatch(const std::string &service);
    void withdraw(const std::string &service, Staging::PieceTicket ticket);
    // Removes the pieces that are not in a call yet, so that another instance can queue them.
    std::vector<Staging::PieceTicket> takeWaiting(const std::string &service);
    // Services that have pieces in their local queues.
    std::vector<std::string> servicesWithPieces() const;
    void release(const std::string &service, const Common::EndpointId &maker,
                 const std::string &handle);
    // Marks the result as evictable: it was most likely fetched, and its space may be reused.
    void markEvictable(const std::string &service, const Common::EndpointId &maker,
                       const std::string &handle);
    // Sets the handler that is called with the head of each answer to a stage call.
    void
    onResponse(std::function<void(const Routing::Endpoint &, const EndpointResponseHead &)> action);
    // The same for what the answer says about the endpoint's limit, with the time of the request.
    void onLimit(
        std::function<void(const Routing::Endpoint &, const EndpointResponseHead &, Common::Time)>
            action);
    // Sets the handler that is called for each stage call that was answered, or to whose endpoint
    // no connection could be made.
    void onPath(std::function<void(const Common::EndpointId &, bool isAnswered)> action);
    // Number of pieces that are waiting or in a call, over all services.
    std::size_t openPieces() const;

private:
    struct Queue
    {
        Staging::StageQueue queue;
        CostReport costReport;
        std::unordered_map<Staging::PieceTicket, PieceListener> listeners;
        std::unique_ptr<boost::asio::steady_timer> wakeTimer;
        std::optional<Common::Time> wakeAt;
        std::unique_ptr<boost::asio::steady_timer> freeTimer;
        bool isFreeTimerArmed = false;
    };

    // Returns nullptr if the catalog has no such stage service.
    Queue *findOrCreate(const std::string &service);
    // Takes over what the catalog and the settings say about the service.
    void configure(Staging::StageQueue &queue, const Catalog::Service &service);
    void armWakeTimer(const std::string &service, Queue &queue);
    void armFreeTimer(const std::string &service, Queue &queue);
    void sendFreeOrders(const std::string &service, Queue &queue);
    // Takes note of what the head of an answer says about the endpoint itself.
    void applyResponseHead(const std::string &service, const Common::EndpointId &id,
                           const EndpointResponseHead &head, Common::Time sentAt);
    bool isEvacuated(const std::string &service, const Common::EndpointId &id);
    void notifySettled(Queue &queue, const std::vector<Staging::SettledPiece> &settled);
    Http::Awaitable<void> runCall(std::string service, Staging::PlannedCall call);
    // Decides whether a reply belongs to the call, and whether a copy of it could be recognized.
    Http::ReplyUse useOfReply(const std::string &service, const Staging::PlannedCall &call,
                              const Http::Response &reply);
    Http::Awaitable<void> notifyFetched(std::string service, Staging::CallNumber call,
                                        std::vector<Staging::PieceTicket> tickets);
    Http::Awaitable<void> runFreeOrder(std::string service, Staging::FreeOrder order);

    State &state;
    std::function<void(const Routing::Endpoint &, const EndpointResponseHead &)> responseHandler;
    std::function<void(const Routing::Endpoint &, const EndpointResponseHead &, Common::Time)>
        limitHandler;
    std::function<void(const Common::EndpointId &, bool)> pathHandler;
    std::map<std::string, Queue> queues;
};

} // namespace Tanagerbay::Entry
