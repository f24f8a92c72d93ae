// Settings of an entry instance on a platform.
#pragma once

#include "Common/Address.h"
#include "Common/Ids.h"
#include "Common/JsonReader.h"
#include "Common/Time.h"
#include "Serving/FleetBudget.h"

namespace Tanagerbay::Entry {

// What the platform promises and asks for.
struct Bounds
{
    // How long a leaving process may run on.
    Common::Milliseconds grace{8000};
    // Within this time an endpoint that leaves must get no new work.
    Common::Milliseconds leavingDelay{2000};
    // Longest time that a caller may keep an answer of the directory.
    Common::Milliseconds mostDirectoryTtl{5000};
    Serving::FleetBudgetLimits extraSends;
};

struct Settings
{
    Common::InstanceId instance;
    Common::FailureDomain failureDomain;
    Common::Address callers;
    Common::Address readiness;
    Common::Address directory;
    Common::Address control;
    // Where other instances connect; the same port everywhere.
    Common::Address peers;
    // Where counters and histograms are read.
    Common::Address metrics;
    // IP addresses of instances that may be known to others.
    std::vector<std::string> seeds;
    Common::Address store;
    std::size_t mostConnections = 3000;
    // What the machine can do, for duties that should lie on strong ones. Zero where not known.
    double cores = 0;
    double linkMbps = 0;
    Bounds bounds;
};

Settings parseSettings(const boost::json::value &document, Common::JsonFaults &faults);

} // namespace Tanagerbay::Entry
