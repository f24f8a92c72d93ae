// The operator's configuration as one immutable version: routes, services, workspaces, limits.
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

// What may be repeated follows from this alone.
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

// Work that must be done before a request of the route can run.
struct Stage
{
    std::string service;
    // Indexes of the stages whose results this one takes.
    std::vector<std::size_t> after;
    // Approximate size of one result.
    std::uint64_t resultBytes = 0;
};

struct Route
{
    std::string name;
    std::string host;
    // Begins and ends with a slash.
    std::string pathPrefix;
    RouteKind kind = RouteKind::NonIdempotent;
    // Longest time that a caller is kept waiting.
    Common::Milliseconds timeout{0};
    // Time within which an answer earns its full worth; for streams, the time to the first event.
    Common::Milliseconds objective{0};
    // Zero is most urgent.
    int priority = 0;
    std::vector<WeightedService> services;
    // Most endpoints to which one request may be sent.
    std::uint32_t maxAttempts = 1;
    std::vector<Stage> stages;
    // Whether requests need no key.
    bool isPublic = false;
    // Whether a stream may be taken up at another endpoint after its last event.
    bool resumable = false;
    // Longest pause between events of a stream that is on time.
    std::optional<Common::Milliseconds> eventGapObjective;
};

// How an endpoint of a service takes pieces of work in batches.
struct Batching
{
    // Calls that one endpoint works on at once.
    std::uint32_t concurrentCalls = 1;
    // Most pieces in a call.
    std::uint32_t maxPieces = 1;
    // A call takes `callTime` and `pieceTime` for each piece.
    Common::Duration callTime{0};
    Common::Duration pieceTime{0};
    // Memory for results at one endpoint.
    std::uint64_t roomBytes = 0;
    // How long a result is kept unless it is freed.
    Common::Duration resultLifetime{0};
};

struct Engine
{
    std::uint32_t slots = 1;
    std::uint64_t memoryTokens = 0;
};

struct Service
{
    std::string name;
    std::uint32_t maxConnections = 0;
    // Set for services that do stages.
    std::optional<Batching> batching;
    // Set for model engines.
    std::optional<Engine> engine;
};

// What callers may send, and how long they may take.
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
    // Goes before the priority of the route.
    std::optional<int> priority;
};

struct Catalog
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::unordered_map<std::string, Service> services;
    CallerLimits limits;
    std::vector<Workspace> workspaces;
    // Indexes of workspaces by the SHA-256 digest of a key.
    std::unordered_map<std::string, std::size_t> workspaceByKeyDigest;
    // Indexes of routes by host, those with the longest prefix first.
    std::unordered_map<std::string, std::vector<std::size_t>> routesByHost;
    // The document that the catalog was read from, for instances that cannot read it themselves.
    std::string source;
};

using CatalogPtr = std::shared_ptr<const Catalog>;

// Fills the index of routes by host. Call it once all routes are there.
void indexRoutes(Catalog &catalog);

// Returns the route of the host with the longest prefix of the path, or null.
const Route *findRoute(const Catalog &catalog, std::string_view host, std::string_view path);

// Returns the workspace that holds the key, or null.
const Workspace *findWorkspace(const Catalog &catalog, std::string_view key);

// Returns the service, or null where the catalog has none of that name.
const Service *findService(const Catalog &catalog, const std::string &name);

// Whether a request of the route may run more than once.
bool isRepeatable(const Route &route);

// Returns one of the route's services by weight. `draw` is uniform in [0, 1).
const std::string &chooseService(const Route &route, double draw);

// Returns how many idle connections to one endpoint each of so many instances may keep. Endpoints
// reset what goes beyond their limit, which all callers share.
std::size_t idleConnectionsAllowed(const Service &service, std::size_t instances);

// Returns how long a call with so many pieces takes by the catalog's figures.
Common::Duration expectedCallTime(const Batching &batching, std::size_t pieces);

} // namespace Tanagerbay::Catalog
