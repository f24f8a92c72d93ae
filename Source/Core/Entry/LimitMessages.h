// Form in which instances pass the limits that endpoints state on to each other.
#pragma once

#include "Routing/StatedLimits.h"

#include <utility>
#include <vector>

#include <boost/json.hpp>

namespace Tanagerbay::Entry {

using LimitNews = std::pair<Routing::ProcessKey, Routing::StatedLimit>;

// Adds the limits to a message; nothing if there are none.
void attachLimits(boost::json::object &message, const std::vector<LimitNews> &limits);

// Reads the limits of a message. Entries that cannot be read are left out.
std::vector<LimitNews> readLimits(const boost::json::object &message);

} // namespace Tanagerbay::Entry
