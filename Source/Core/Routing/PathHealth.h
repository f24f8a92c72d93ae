// Tells whether this instance has lost its paths to all endpoints while other instances still reach
// some.
//
// Endpoints that end look the same from one instance: nothing can be connected to. So the instance
// first probes endpoints of several services, and then compares: it has lost its paths only if
// another instance reached an endpoint after this one could not. The functions do no I/O.
#pragma once

#include "Common/Ids.h"
#include "Common/Time.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace Tanagerbay::Routing {

struct PathHealth
{
    // When an endpoint last answered or accepted a connection.
    std::optional<Common::Time> lastContactAt;
    // When the endpoint failed first to which no connection could be made since the last one that
    // was made; unset if none failed.
    std::optional<Common::Time> failingSince;
    std::set<Common::EndpointId> failedEndpoints;
    // When the last round of probes began.
    std::optional<Common::Time> probedAt;
    // Whether all probes of the last round failed.
    bool hasProbesFailed = false;
    // When other instances last had contact with an endpoint, as they say.
    std::map<Common::InstanceId, Common::Time> otherContacts;
    // Another instance wants to know whether this one reaches endpoints.
    bool isAsked = false;
    bool isLost = false;
};

// Records that an endpoint answered. The connection may have been open for long.
void noteAnswer(PathHealth &health, Common::Time now);

// Records that a connection to an endpoint was made.
void noteConnected(PathHealth &health, Common::Time now);

// Records that no connection to the endpoint could be made.
void noteUnreachable(PathHealth &health, const Common::EndpointId &endpoint, Common::Time now);

// Records when another instance had contact with an endpoint.
void noteOtherContact(PathHealth &health, const Common::InstanceId &instance,
                      Common::Time contactAt);

// Records that another instance reaches no endpoint and wants to know whether this one does.
void noteAsked(PathHealth &health);

// Whether a round of probes is due. `waitingSince` is since when calls wait for endpoints without
// an answer from any of them; unset if none does.
bool needsProbes(const PathHealth &health, std::optional<Common::Time> waitingSince,
                 Common::Time now);

// Records the end of a round of probes.
void noteProbes(PathHealth &health, std::size_t succeeded, std::size_t failed, Common::Time now);

// Decides anew. Returns whether the verdict changed.
bool decide(PathHealth &health, Common::Time now);

// An endpoint that may be probed.
struct ProbeCandidate
{
    std::string service;
    Common::EndpointId endpoint;
};

// Draws up to `count` candidates, of as many services as possible, since one service may be down.
std::vector<ProbeCandidate> drawProbes(std::vector<ProbeCandidate> candidates, std::size_t count,
                                       std::mt19937_64 &random);

} // namespace Tanagerbay::Routing
