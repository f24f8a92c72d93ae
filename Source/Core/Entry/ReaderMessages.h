// Converts changes of the endpoint list to and from messages between instances.
#pragma once

#include "Entry/EndpointChanges.h"

#include <boost/json.hpp>

namespace Tanagerbay::Entry {

boost::json::object changesToJson(const EndpointChanges &changes);

// Returns nothing if the value is not such an object.
std::optional<EndpointChanges> changesFromJson(const boost::json::value &value);

} // namespace Tanagerbay::Entry
