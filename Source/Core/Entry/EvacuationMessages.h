// Converts what is known of evacuated failure domains to and from messages between instances.
#pragma once

#include "Entry/Evacuations.h"

#include <boost/json.hpp>

namespace Tanagerbay::Entry {

// Adds the report to a message. A report that says nothing is left out.
void attachEvacuations(boost::json::object &message, const EvacuationReport &report,
                       Common::Time now);

// Reads the report of a message; empty if it has none. Entries that cannot be read are left out,
// and the report then does not count as complete.
EvacuationReport readEvacuations(const boost::json::object &message, Common::Time now);

} // namespace Tanagerbay::Entry
