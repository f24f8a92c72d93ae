// Passes what a few instances read from the store on to the others, so that the calls to the store
// do not grow with the number of instances.
//
// Each instance follows two readers. A reader tells its followers of each of its readings, also
// when nothing has changed: whoever hears nothing for a while reads for itself. An instance that is
// followed reads, whether or not it would name itself a reader.
#pragma once

#include "Entry/EndpointChanges.h"
#include "Entry/Evacuations.h"
#include "Entry/PeerMesh.h"
#include "Membership/Readers.h"

namespace Tanagerbay::Entry {

// What a reader tells its followers after a reading.
struct ReaderReport
{
    Common::InstanceId reader;
    Common::Address readerAddress;
    // When the reader's last successful reading of the endpoints began.
    Common::Time endpointsReadAt;
    // Changes since the follower's last one; unset where the follower has to read itself.
    std::optional<EndpointChanges> changes;
    // Whether the reader waits for changes of the catalog at present.
    bool isWatchingCatalog = false;
    std::uint64_t catalogVersion = 0;
    // When the last reading that confirmed the reader's catalog began, if any.
    std::optional<Common::Time> catalogConfirmedAt;
    EvacuationReport evacuations;
};

class StoreRelay
{
public:
    StoreRelay(State &state, PeerMesh &mesh);

    void start();
    // Sets the handler for reports of readers that this instance follows.
    void onReport(std::function<void(const ReaderReport &)> action);
    // Sets the function that confirms this instance's catalog on behalf of a follower. Returns when
    // the reading that confirms it began, or nothing.
    void setConfirm(std::function<Http::Awaitable<std::optional<Common::Time>>()> confirm);
    // Whether this instance has to read the store: others follow it, or it is a reader by choice.
    bool isReader() const;
    // Tells the followers of a reading of the endpoints.
    void reportEndpoints(EndpointChanges changes, Common::Time readAt);
    // Tells the followers that the catalog has changed or was confirmed.
    void reportCatalog(bool isWatching, std::optional<Common::Time> confirmedAt);
    // Where this instance's own readings or the reports have brought it.
    void setPosition(const StorePosition &position);
    // Asks a reader to confirm the catalog; its report comes to the handler. Returns false if there
    // is none to ask.
    bool askToConfirm();

private:
    Http::Awaitable<void> followReaders();
    std::vector<Common::Address> readerAddresses() const;
    void onFollow(const PeerLinkPtr &link, const boost::json::object &message);
    void onReaderReport(const boost::json::object &message);
    void answerConfirm(PeerLinkPtr link);
    boost::json::object reportMessage(Common::Time now) const;
    void sendReport(const PeerLinkPtr &link, const std::optional<EndpointChanges> &changes);
    void dropFollowers(Common::Time now);

    State &state;
    PeerMesh &mesh;
    std::function<void(const ReaderReport &)> reportHandler;
    std::function<Http::Awaitable<std::optional<Common::Time>>()> confirm;
    // Connections of followers, and until when they follow unless they renew.
    std::map<PeerLinkPtr, Common::Time> followers;
    ChangeLog log;
    StorePosition position;
    std::optional<Common::Time> endpointsReadAt;
    bool isWatchingCatalog = false;
    std::optional<Common::Time> catalogConfirmedAt;
};

} // namespace Tanagerbay::Entry
