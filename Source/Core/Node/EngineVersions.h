// Which engines of a pool may go on with a stream. Tokens of two software versions do not fit
// together, so a stream stays at the version of the engine that wrote its first token.
#pragma once

#include "Routing/Pool.h"

#include <optional>
#include <string>
#include <vector>

namespace Tanagerbay::Node {

// Software version of the engine that wrote a stream's first token, empty if the engine states
// none; unset while the stream has no token.
using StreamVersion = std::optional<std::string>;

// Returns whether the pool has an engine of the version.
bool servesVersion(const Routing::Pool &pool, const StreamVersion &version);

// Returns the version of all engines of the pool, or nothing if they differ or there are none.
std::optional<std::string> onlyVersion(const Routing::Pool &pool);

// Returns whether an engine that was not tried may be chosen to continue the stream.
bool hasUntriedEngine(const Routing::Pool &pool, const StreamVersion &version,
                      const std::vector<Common::EndpointId> &tried, Common::Time now);

} // namespace Tanagerbay::Node
