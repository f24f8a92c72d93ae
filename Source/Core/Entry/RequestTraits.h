// The properties of a request by which quarantine tells requests apart.
#pragma once

#include "Entry/Ports.h"
#include "Quarantine/Trait.h"

namespace Tanagerbay::Entry {

// Returns the traits of a request. First the parts of its prompt that other requests may share,
// which are all but the last. Then its content together with its workspace, which is what an
// endpoint gets to see; a request without shared parts also has its content together with the key
// that its caller used.
std::vector<Quarantine::Trait> traitsOf(const CallerRequest &request,
                                        const Common::WorkspaceId &workspace);

// Returns their names in the same order, for logs.
std::vector<std::string> traitNamesOf(const CallerRequest &request,
                                      const Common::WorkspaceId &workspace);

} // namespace Tanagerbay::Entry
