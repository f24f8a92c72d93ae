// The properties of a request by which quarantine tells requests apart.
#pragma once

#include "Entry/Ports.h"
#include "Quarantine/Trait.h"

namespace Tanagerbay::Entry {

// Returns the traits of a request: the parts of its prompt that other requests may share, which are
// all but the last; without such a part its content, which is the same when a caller repeats it.
std::vector<Quarantine::Trait> traitsOf(const CallerRequest &request);

// Returns their names in the same order, for logs.
std::vector<std::string> traitNamesOf(const CallerRequest &request);

} // namespace Tanagerbay::Entry
