// Asks the endpoints of a service which processes they are, where a request depends on there being
// no other process than those that the list shows.
#pragma once

#include "Entry/EndpointDiscovery.h"
#include "Entry/LimitWatch.h"
#include "Entry/ProcessQuestion.h"

#include <map>
#include <memory>
#include <set>

namespace Tanagerbay::Entry {

class ProcessCensus
{
public:
    ProcessCensus(State &state, EndpointDiscovery &endpoints, LimitWatch &limits);

    // Asks those that have not stated themselves within the last moment, the ones first that have
    // not for the longest time, a bounded number. `EndpointDiscovery` knows what they state.
    // Returns when all have answered, or after a short time, those that may be another process than
    // the list shows: they have not stated themselves since that was listed, and their row does not
    // confirm it; or they did and have not for some time. Requests of the same moment share the
    // answers.
    Http::Awaitable<std::vector<Common::EndpointId>> ask(std::string service);

private:
    struct Round
    {
        explicit Round(boost::asio::io_context &context) : done(context)
        {
        }

        Common::Time startedAt;
        boost::asio::steady_timer done;
        std::size_t open = 0;
        // They have refused the connection.
        std::set<Common::EndpointId> absent;
    };

    std::shared_ptr<Round> begin(const std::string &service, Common::Time now);
    // Whether the list shows a process of the service that it did not show at `since`.
    bool hasNewProcess(const std::string &service, Common::Time since) const;
    std::vector<Common::EndpointId> unconfirmed(const std::string &service,
                                                const Round &round) const;
    // Whether the endpoint has stated itself before, but neither when it was last asked nor since
    // `since`.
    bool hasStoppedStating(const Common::EndpointId &id, Common::Time since) const;
    std::vector<Routing::Endpoint> endpointsToAsk(const std::string &service, Common::Time now);
    Http::Awaitable<void> askOne(std::string service, Routing::Endpoint endpoint,
                                 std::shared_ptr<Round> round);

    State &state;
    EndpointDiscovery &endpoints;
    LimitWatch &limits;
    // The last one of each service.
    std::map<std::string, std::shared_ptr<Round>> rounds;
    // Endpoints that have not stated themselves since they were last asked, and when that was.
    std::map<Common::EndpointId, Common::Time> unstated;
};

} // namespace Tanagerbay::Entry
