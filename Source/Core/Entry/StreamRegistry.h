// Finds out which endpoint process began a stream that a caller takes up again.
//
// The instance that relays the first event of a stream tells a few others, chosen by the caller's
// attempt, so that any instance knows whom to ask after the first one has ended. The cost is
// constant for each stream, however many instances there are.
#pragma once

#include "Entry/StreamMessages.h"
#include "Entry/StreamRecorder.h"

namespace Tanagerbay::Entry {

// No aggregate, since coroutines return it. See Tools/check-awaited-temporaries.
struct StreamSearch
{
    StreamSearch() = default;

    // Unset if nobody knows where the stream began.
    std::optional<Serving::StreamOrigin> origin;
    bool isKnownHere = false;
    // Number of other instances that were asked, and of those that have not answered.
    std::size_t askedCount = 0;
    std::size_t unansweredCount = 0;
};

class StreamRegistry
{
public:
    StreamRegistry(State &state, PeerDatagrams &datagrams, Store &store,
                   EndpointDiscovery &endpoints);

    void start();
    // To be called when the pools have changed.
    void noteVersions();
    // Records where a stream began. To be called before its first event is passed on, so that the
    // instances that are told learn of it even if this one ends right after.
    void noteBegun(const std::string &attempt, const Serving::StreamOrigin &origin);
    // Records what is known of the end of an attempt's stream that is not complete.
    void noteIncomplete(const std::string &attempt, const Serving::StreamOrigin &origin);
    // Finds out where the stream began that the attempt brought, from this instance's memory or
    // that of others, which may hold what the store kept. Its holders are asked in any case, since
    // others may have learned more of the stream's end. `neededUntil` is until when the stream may
    // be taken up once more.
    Http::Awaitable<StreamSearch> find(std::string attempt, Common::Time neededUntil);
    // Forgets streams that may have begun at another process than the one that was recorded. See
    // `Serving::forgetOrigins`.
    void forget(const Common::EndpointId &endpoint, std::uint64_t incarnation, Common::Time since);
    // Passes on what this instance holds to those that hold it after its exit.
    void handOver();
    std::size_t size() const;

private:
    // A question to other instances.
    struct Search
    {
        explicit Search(boost::asio::io_context &context) : timer(context)
        {
        }

        // The instances whose answers are needed. Once the origin is known, these are the ones that
        // are told what others learn of the stream.
        const std::map<Common::Address, Common::InstanceId> &awaited() const
        {
            return this->origin ? this->unansweredHolders : this->unanswered;
        }

        std::string attempt;
        Common::Time neededUntil;
        std::optional<Serving::StreamOrigin> origin;
        std::map<Common::Address, Common::InstanceId> unanswered;
        std::map<Common::Address, Common::InstanceId> unansweredHolders;
        boost::asio::steady_timer timer;
    };

    void handle(const StreamMessage &message, const Common::Address &sender);
    // Adds the origin here and at the instances that hold the attempt.
    void share(const std::string &key, const Serving::StreamOrigin &origin);
    void send(const Common::Address &to, const StreamMessage &message);
    // Whether an instance that is believed to be up has not answered, or this one is about to know
    // more.
    bool isWaiting(const Search &search) const;
    // Ends the searches for what is known by now.
    void endSearches();

    State &state;
    PeerDatagrams &datagrams;
    EndpointDiscovery &endpoints;
    Serving::StreamOrigins origins;
    StreamRecorder recorder;
    std::map<std::uint64_t, Search *> searches;
    std::uint64_t lastNumber = 0;
};

} // namespace Tanagerbay::Entry
