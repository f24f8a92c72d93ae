// Hands the pieces of a request's stage to the instance that owns the service's queue, and hands
// them in again where that instance is lost.
#pragma once

#include "Entry/PeerMesh.h"
#include "Entry/StageOwner.h"
#include "Staging/QueueOwner.h"

#include <set>

namespace Tanagerbay::Entry {

// One stage of one request. Its pieces differ in their number only, which is their place here.
struct StageWork
{
    std::string service;
    std::vector<Staging::PieceRequest> pieces;
    // Runs when all pieces have most likely fetched their inputs; may be empty.
    std::function<void()> allFetched;
};

struct StageOutcome
{
    // One entry a piece. Each is made unless `fault` is set.
    std::vector<Staging::SettledPiece> results;
    std::optional<Staging::PieceOutcome> fault;
};

using WorkNumber = std::uint64_t;
using StageAction = std::function<void(const StageOutcome &)>;

class StageClient
{
public:
    StageClient(State &state, PeerMesh &mesh, StageOwner &owner);

    void start();
    // Runs `action` once, when all pieces are made or one cannot be.
    WorkNumber submit(StageWork work, StageAction action);
    // Nobody waits for the work any more. Results that are made already are released.
    void cancel(WorkNumber work);
    void release(const std::string &service, const std::vector<Staging::SettledPiece> &results);
    // Notes that the results may go where their room is needed.
    void markSpare(const std::string &service, const std::vector<Staging::SettledPiece> &results);
    // Moves pieces that wait in queues here to the queues' owners, where those are others.
    void handOver();

private:
    struct Owner
    {
        Common::InstanceId id;
        Common::Address address;
    };

    // An instance that pieces were handed to.
    struct HandIn
    {
        Owner owner;
        Common::Time at;
    };

    struct Work
    {
        StageWork work;
        StageAction action;
        std::vector<std::optional<Staging::SettledPiece>> results;
        std::size_t open = 0;
        // Which pieces have fetched their inputs.
        std::set<std::size_t> fetched;
        // Other instances that have pieces of it.
        std::vector<HandIn> handedTo;
        // Pieces in a queue here, by their tickets.
        std::map<Staging::PieceTicket, std::size_t> ownTickets;
    };

    // Work that another instance handed in.
    struct ForeignWork
    {
        PeerLinkPtr link;
        WorkNumber number = 0;
        std::string service;
        // By the pieces' indexes.
        std::map<std::uint64_t, Staging::PieceTicket> tickets;
    };

    // Leaves the instance out as an owner for a while.
    void avoid(const Common::InstanceId &id, Common::Time now);
    bool mayOwn(const Membership::Member &member, Common::Time now) const;
    Owner ownerOf(const std::string &service, Common::Time now) const;
    bool mayChooseOwner() const;
    Http::Awaitable<void> handInLater(WorkNumber number);
    // Hands in all pieces that are not made yet.
    void handIn(WorkNumber number, Work &work);
    void handInTo(const Owner &owner, WorkNumber number, Work &work,
                  const std::vector<std::size_t> &indexes);
    void handInHere(WorkNumber number, Work &work, const std::vector<std::size_t> &indexes);
    void handOver(const std::string &service);
    void movePieces(const std::string &service, const Owner &owner);
    void onMoved(const boost::json::object &message);
    void takePiece(WorkNumber number, std::size_t index, const Staging::SettledPiece &piece);
    void finish(WorkNumber number, std::optional<Staging::PieceOutcome> fault);
    void onSubmit(const PeerLinkPtr &link, const boost::json::object &message);
    void takeFetched(WorkNumber number, std::size_t index);
    // Tells the owner of the results' service about them, by a message of the given type.
    void sendResults(const std::string &type, const std::string &service,
                     const std::vector<Staging::SettledPiece> &results);
    void forgetForeign(const std::string &name, std::uint64_t index);
    void onFetched(const boost::json::object &message);
    void onSettled(const boost::json::object &message);
    void onWithdraw(const boost::json::object &message);
    // Takes results that are not needed any more, or that are spare only.
    void onResults(const boost::json::object &message, bool spareOnly);
    Http::Awaitable<void> watchOwners();
    Http::Awaitable<void> watchQueues();
    void suspect(const Common::InstanceId &id, const Common::Address &address);

    State &state;
    PeerMesh &mesh;
    StageOwner &owner;
    std::map<WorkNumber, Work> open;
    WorkNumber lastNumber = 0;
    // Instances that did not answer, and until when they are left out as owners.
    std::map<Common::InstanceId, Common::Time> avoided;
    // By the name of the instance and its number for the work.
    std::map<std::string, ForeignWork> foreign;
    std::map<std::string, Staging::OwnerObservation> ownerWatches;
    std::unique_ptr<boost::asio::steady_timer> watch;
};

} // namespace Tanagerbay::Entry
