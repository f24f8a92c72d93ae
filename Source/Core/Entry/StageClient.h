// Submits the pieces of a request's stage to the instance that owns the service's queue, and
// resubmits them if that instance is lost.
#pragma once

#include "Entry/PeerMesh.h"
#include "Entry/StageOwner.h"
#include "Staging/QueueOwner.h"

#include <set>

namespace Tanagerbay::Entry {

// One stage of one request. The pieces differ only in their number, which is their index here.
struct StageWork
{
    std::string service;
    std::vector<Staging::PieceRequest> pieces;
    // Called when all pieces have most likely fetched their inputs; may be empty.
    std::function<void()> onInputsFetched;
};

struct StageOutcome
{
    // One result for each piece; empty if `fault` is set.
    std::vector<Staging::SettledPiece> results;
    std::optional<Staging::PieceOutcome> fault;
    // When the stage will have room again, if the work expired for want of it.
    std::optional<Common::Duration> roomIn;
};

using WorkId = std::uint64_t;
using StageCallback = std::function<void(const StageOutcome &)>;

class StageClient
{
public:
    StageClient(State &state, PeerMesh &mesh, StageOwner &owner);

    void start();
    // Sets the handler that checks whether an instance is alive, through other instances too.
    void onDoubt(std::function<void(const Common::InstanceId &)> action);
    // Calls `callback` once, when all pieces are made or one has failed.
    WorkId submit(StageWork work, StageCallback callback);
    // Withdraws the work without calling its callback. Results that are already made are released.
    void cancel(WorkId workId);
    void release(const std::string &service, const std::vector<Staging::SettledPiece> &results);
    // Marks the results as evictable: their endpoints may drop them to free space.
    void markEvictable(const std::string &service,
                       const std::vector<Staging::SettledPiece> &results);
    // Moves waiting pieces from local queues to other instances that now own the queues.
    void handOver();

private:
    struct Owner
    {
        Common::InstanceId id;
        Common::Address address;
    };

    // Pieces submitted to another instance.
    struct Submission
    {
        Owner owner;
        Common::Time at;
        // Connection over which the pieces were submitted.
        std::uint64_t link = 0;
    };

    struct Work
    {
        StageWork stage;
        StageCallback callback;
        std::vector<std::optional<Staging::SettledPiece>> results;
        std::size_t missingResults = 0;
        // Indexes of the pieces that have most likely fetched their inputs.
        std::set<std::size_t> fetchedPieces;
        // Submissions of its pieces to other instances.
        std::vector<Submission> submissions;
        // Indexes of the pieces in a local queue, by ticket.
        std::map<Staging::PieceTicket, std::size_t> localTickets;
    };

    // Work submitted by another instance.
    struct RemoteWork
    {
        PeerLinkPtr link;
        WorkId workId = 0;
        std::string service;
        // Whether the submitter understands reports about several pieces in one message.
        bool acceptsBatches = false;
        // Tickets by piece index.
        std::map<std::uint64_t, Staging::PieceTicket> tickets;
    };

    // Excludes the instance from being chosen as an owner for `kOwnerExclusionPeriod`.
    void excludeOwner(const Common::InstanceId &id, Common::Time now);
    bool isOwnerCandidate(const Membership::Member &member, Common::Time now) const;
    Owner ownerOf(const std::string &service, Common::Time now) const;
    bool mayChooseOwner() const;
    Http::Awaitable<void> submitWhenOwnersKnown(WorkId workId);
    // Submits all pieces that have no result yet.
    void submitMissing(WorkId workId, Work &work);
    void submitTo(const Owner &owner, WorkId workId, Work &work,
                  const std::vector<std::size_t> &indexes);
    void submitLocally(WorkId workId, Work &work, const std::vector<std::size_t> &indexes);
    void handOver(const std::string &service);
    void movePieces(const std::string &service, const Owner &owner);
    void onMoved(const boost::json::object &message);
    void recordPiece(WorkId workId, std::size_t index, const Staging::SettledPiece &piece);
    void finish(WorkId workId, std::optional<Staging::PieceOutcome> fault,
                std::optional<Common::Duration> roomIn = std::nullopt);
    void onSubmit(const PeerLinkPtr &link, const boost::json::object &message);
    void recordFetched(WorkId workId, std::size_t index);
    // Sends a message of the given type about the results to the owner of the service's queue.
    void sendResults(const std::string &type, const std::string &service,
                     const std::vector<Staging::SettledPiece> &results);
    void eraseRemotePiece(const std::string &key, std::uint64_t index);
    void onFetched(const boost::json::object &message);
    void onSettled(const boost::json::object &message);
    void onReports(const boost::json::object &message);
    void onWithdraw(const boost::json::object &message);
    // Handles results that are no longer needed, or with `evictableOnly` those that became
    // evictable.
    void onResults(const boost::json::object &message, bool evictableOnly);
    Http::Awaitable<void> watchOwners();
    Http::Awaitable<void> watchQueues();
    void checkOwner(const Owner &owner, Common::Time submittedAt, Common::Time now);
    void onOwnerLost(const Common::InstanceId &id, const Common::Address &address);
    // Submits again what the owner has not settled and what was submitted over a connection that is
    // closed: if the owner is still the same process, it knows the pieces and only reports over the
    // new connection; a new process knows nothing of them.
    void resubmitOverNewLink(const Common::InstanceId &id, const Common::Address &address);
    void reportSettled(const std::string &key, std::uint64_t index,
                       const Staging::SettledPiece &piece);
    void reportFetched(const std::string &key, std::uint64_t index);
    // Sends the reports collected in this turn of the event loop, one message a submitter.
    void flushReports();

    State &state;
    PeerMesh &mesh;
    StageOwner &owner;
    std::map<WorkId, Work> openWork;
    // Starts at a random number: an owner keeps open work of an instance's previous process, and
    // the IDs of the new one must not match it.
    WorkId lastWorkId;
    // Instances that did not respond or are leaving, and until when they are excluded as owners.
    std::map<Common::InstanceId, Common::Time> excludedOwners;
    // Keyed by the ID of the submitting instance and its ID for the work.
    std::map<std::string, RemoteWork> remoteWork;
    // Reports about pieces that other instances submitted, to be sent together.
    std::map<PeerLinkPtr, boost::json::array> settledReports;
    std::map<PeerLinkPtr, boost::json::array> fetchedReports;
    bool isFlushScheduled = false;
    // Connections to owners that fell silent while the owner was alive, and when.
    std::map<Common::InstanceId, Common::Time> silentLinks;
    std::function<void(const Common::InstanceId &)> doubtHandler;
    std::map<std::string, Staging::OwnerObservation> ownerWatches;
    std::unique_ptr<boost::asio::steady_timer> watchTimer;
};

} // namespace Tanagerbay::Entry
