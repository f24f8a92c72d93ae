// Open-loop load generator: requests arrive at the set rate, whether or not earlier ones were
// answered.
#pragma once

#include "Load/Report.h"
#include "Load/Workload.h"

#include <optional>

namespace Tanagerbay::Load {

struct GeneratorSettings
{
    std::vector<Http::Address> targets;
    // Control address of the stand-ins; without it, costs are not reported and runs not checked.
    std::optional<Http::Address> control;
    double ratePerSecond = 10;
    double seconds = 10;
    std::uint64_t seed = 1;
    std::size_t threads = 2;
    // Every `burstEvery` seconds, the rate is multiplied by `burstFactor` for `burstSeconds`; zero
    // means no bursts.
    double burstEvery = 0;
    double burstFactor = 1;
    double burstSeconds = 0;
};

// Runs the load for the set time and waits for the last answers.
Report generateLoad(const GeneratorSettings &settings, const Workload &workload);

} // namespace Tanagerbay::Load
