#include "Catalog/Catalog.h"

#include "Common/Hash.h"

#include <algorithm>
#include <cassert>

namespace Tanagerbay::Catalog {

namespace {

// Share of an endpoint's connections that may be idle. The endpoint accepts fewer connections while
// its queue is long.
constexpr double kIdleShare = 0.4;
// Further idle connections have no benefit at the request rate of one instance.
constexpr std::size_t kMaxIdleConnections = 8;

} // namespace

void indexRoutes(Catalog &catalog)
{
    catalog.routesByHost.clear();
    for (std::size_t i = 0; i < catalog.routes.size(); ++i)
        catalog.routesByHost[catalog.routes[i].host].push_back(i);
    for (auto &[host, indexes] : catalog.routesByHost) {
        std::stable_sort(indexes.begin(), indexes.end(), [&catalog](std::size_t a, std::size_t b) {
            return catalog.routes[a].pathPrefix.size() > catalog.routes[b].pathPrefix.size();
        });
    }
}

const Route *findRoute(const Catalog &catalog, std::string_view host, std::string_view path)
{
    const auto found = catalog.routesByHost.find(std::string(host));
    if (found == catalog.routesByHost.end())
        return nullptr;
    for (const std::size_t index : found->second) {
        const Route &route = catalog.routes[index];
        if (path.starts_with(route.pathPrefix))
            return &route;
    }
    return nullptr;
}

const Workspace *findWorkspace(const Catalog &catalog, std::string_view key)
{
    if (key.empty())
        return nullptr;
    const auto found = catalog.workspaceByKeyDigest.find(Common::secretDigestOf(key));
    return found == catalog.workspaceByKeyDigest.end() ? nullptr
                                                       : &catalog.workspaces[found->second];
}

const Service *findService(const Catalog &catalog, const std::string &name)
{
    const auto found = catalog.services.find(name);
    return found == catalog.services.end() ? nullptr : &found->second;
}

bool isOnRoutes(const Catalog &catalog, const std::string &service)
{
    return std::any_of(catalog.routes.begin(), catalog.routes.end(),
                       [&service](const Route &route) {
                           return std::any_of(route.services.begin(), route.services.end(),
                                              [&service](const WeightedService &option) {
                                                  return option.service == service;
                                              });
                       });
}

bool isRepeatable(const Route &route)
{
    return route.kind == RouteKind::Idempotent
        || (route.kind == RouteKind::Streaming && route.resumable);
}

const std::string &chooseService(const Route &route, double draw)
{
    assert(!route.services.empty());
    std::uint64_t total = 0;
    for (const WeightedService &option : route.services)
        total += option.weight;
    double left = draw * static_cast<double>(total);
    for (const WeightedService &option : route.services) {
        left -= option.weight;
        if (left < 0)
            return option.service;
    }
    return route.services.back().service;
}

std::size_t idleConnectionsAllowed(const Service &service, std::size_t instances)
{
    const double idlePerInstance = kIdleShare * service.maxConnections
        / static_cast<double>(std::max<std::size_t>(instances, 1));
    return std::min(static_cast<std::size_t>(idlePerInstance), kMaxIdleConnections);
}

Common::Duration expectedCallTime(const Batching &batching, std::size_t pieces)
{
    return batching.callTime + batching.pieceTime * static_cast<std::int64_t>(pieces);
}

} // namespace Tanagerbay::Catalog
