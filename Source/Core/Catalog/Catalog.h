// The operator's configuration as an immutable version: routes, services, workspaces and limits.
#pragma once

#include "Common/EnumNames.h"
#include "Common/Ids.h"
#include "Common/Time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Tanagerbay::Catalog {

// Kind of the requests of a route. It determines, together with `Route::resumable` for streams,
// whether a request may run more than once.
enum class RouteKind { Idempotent, NonIdempotent, Streaming };

} // namespace Tanagerbay::Catalog

template <>
struct Tanagerbay::Common::EnumNames<Tanagerbay::Catalog::RouteKind>
{
    using Kind = Catalog::RouteKind;
    static constexpr NameTable<Kind, 3> table = {{
        {Kind::Idempotent, "idempotent"},
        {Kind::NonIdempotent, "non-idempotent"},
        {Kind::Streaming, "streaming"},
    }};
};

namespace Tanagerbay::Catalog {

struct WeightedService
{
    std::string service;
    std::uint32_t weight = 1;
};

// Processing step that must finish before a request of the route can run.
struct Stage
{
    std::string service;
    // Indexes of the stages whose results are the inputs of this one.
    std::vector<std::size_t> after;
    // Approximate size of one result in bytes.
    std::uint64_t resultBytes = 0;
};

struct Route
{
    std::string name;
    std::string host;
    // Begins and ends with a slash.
    std::string pathPrefix;
    RouteKind kind = RouteKind::NonIdempotent;
    // Maximum time until the caller has its answer.
    Common::Milliseconds timeout{0};
    // Latency objective: an answer within this time has its full value. For streams it applies to
    // the time to the first event.
    Common::Milliseconds objective{0};
    // Zero is the highest priority.
    int priority = 0;
    std::vector<WeightedService> services;
    // Maximum number of endpoints to which one request may be sent.
    std::uint32_t maxAttempts = 1;
    std::vector<Stage> stages;
    // Whether requests are accepted without a key.
    bool isPublic = false;
    // Whether a stream may be resumed at another endpoint after the last event received.
    bool resumable = false;
    // Objective for the maximum time between consecutive events of a stream.
    std::optional<Common::Milliseconds> eventGapObjective;
};

// Batch processing at the endpoints of a service. A call carries a batch of pieces.
struct Batching
{
    // Number of calls that one endpoint processes concurrently.
    std::uint32_t concurrentCalls = 1;
    // Maximum number of pieces in a call.
    std::uint32_t maxPieces = 1;
    // The duration of a call is `callTime`, plus `pieceTime` for each piece.
    Common::Duration callTime{0};
    Common::Duration pieceTime{0};
    // Memory for results at one endpoint, in bytes.
    std::uint64_t resultMemoryBytes = 0;
    // How long a result is kept unless it is freed.
    Common::Duration resultLifetime{0};
};

struct Engine
{
    std::uint32_t slots = 1;
    std::uint64_t memoryTokens = 0;
    // Tokens of each event of a stream but the last, which may hold fewer.
    std::uint32_t tokensPerEvent = 1;
};

// How the processes of a service start.
struct ColdStart
{
    // For how long a process is cold after it has started during traffic.
    Common::Milliseconds period{0};
    // Requests a second that a cold process takes from all instances together.
    double perSecond = 0;
};

struct Service
{
    std::string name;
    std::uint32_t maxConnections = 0;
    // Path at which the endpoints tell whether they are healthy; empty if not known.
    std::string healthPath;
    // Set for services that process stages.
    std::optional<Batching> batching;
    // Set for model engines.
    std::optional<Engine> engine;
    // Unset where a process takes requests as usual from its start on.
    std::optional<ColdStart> coldStart;
};

// Limits on the size and the duration of what callers send.
struct CallerLimits
{
    std::size_t maxHeaderBytes = 16 << 10;
    std::size_t maxBodyBytes = 4 << 20;
    Common::Milliseconds headerTimeout{3000};
    Common::Milliseconds idleTimeout{15000};
};

struct Workspace
{
    Common::WorkspaceId id;
    // Overrides the priority of the route.
    std::optional<int> priority;
};

struct Catalog
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::unordered_map<std::string, Service> services;
    CallerLimits limits;
    std::vector<Workspace> workspaces;
    // Indexes of workspaces by the SHA-256 digest of their keys.
    std::unordered_map<std::string, std::size_t> workspaceByKeyDigest;
    // Indexes of routes by host, sorted by descending length of the path prefix.
    std::unordered_map<std::string, std::vector<std::size_t>> routesByHost;
    // Document from which the catalog was read, for instances that cannot read it themselves.
    std::string source;
};

using CatalogPtr = std::shared_ptr<const Catalog>;

// Builds `routesByHost`. Must be called after all routes have been added.
void indexRoutes(Catalog &catalog);

// Returns the route of the host with the longest matching path prefix, or null.
const Route *findRoute(const Catalog &catalog, std::string_view host, std::string_view path);

// Returns the workspace to which the key belongs, or null.
const Workspace *findWorkspace(const Catalog &catalog, std::string_view key);

// Returns the service of that name, or null.
const Service *findService(const Catalog &catalog, const std::string &name);

// Whether a route leads to the service.
bool isOnRoutes(const Catalog &catalog, const std::string &service);

// Whether a request of the route may run more than once.
bool isRepeatable(const Route &route);

// Returns one of the route's services at random by weight. `draw` is uniform in [0, 1).
const std::string &chooseService(const Route &route, double draw);

// Returns the maximum number of idle connections to one endpoint that each of `instances` instances
// may keep. All callers share the connection limit of an endpoint, which resets connections beyond
// it.
std::size_t idleConnectionsAllowed(const Service &service, std::size_t instances);

// Returns the duration of a call with `pieces` pieces according to the catalog.
Common::Duration expectedCallTime(const Batching &batching, std::size_t pieces);

} // namespace Tanagerbay::Catalog
