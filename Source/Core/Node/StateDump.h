// Renders the state dump and the metrics of an instance.
#pragma once

#include "Node/SharedState.h"

#include <boost/json.hpp>

namespace Tanagerbay::Node {

// Returns the state as JSON. Long collections are truncated, with their full size stated. Keys,
// tokens and bodies are not included.
boost::json::object dumpState(SharedState &shared, Common::Time now);

// Renders all metrics in the Prometheus text exposition format.
std::string renderMetrics(SharedState &shared, Common::Time now);

} // namespace Tanagerbay::Node
