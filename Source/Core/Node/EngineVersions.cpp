#include "Node/EngineVersions.h"

#include <algorithm>

namespace Tanagerbay::Node {

bool servesVersion(const Routing::Pool &pool, const StreamVersion &version)
{
    return std::any_of(
        pool.endpoints.begin(), pool.endpoints.end(),
        [&](const Routing::Endpoint &engine) { return Routing::hasVersion(engine, version); });
}

std::optional<std::string> onlyVersion(const Routing::Pool &pool)
{
    if (pool.endpoints.empty())
        return std::nullopt;
    const std::string &version = pool.endpoints.front().version;
    const bool isOnly
        = std::all_of(pool.endpoints.begin(), pool.endpoints.end(),
                      [&](const Routing::Endpoint &engine) { return engine.version == version; });
    return isOnly ? std::optional(version) : std::nullopt;
}

bool hasUntriedEngine(const Routing::Pool &pool, const StreamVersion &version,
                      const std::vector<Common::EndpointId> &tried, Common::Time now)
{
    return std::any_of(pool.endpoints.begin(), pool.endpoints.end(),
                       [&](const Routing::Endpoint &engine) {
                           return Routing::hasVersion(engine, version)
                               && !Routing::isLeaving(engine) && !Routing::isHeld(engine, now)
                               && std::find(tried.begin(), tried.end(), engine.id) == tried.end();
                       });
}

} // namespace Tanagerbay::Node
