// Plays a scenario under several policies and loads, and shows the outcomes as a table and a plot.
#pragma once

#include "Experiment/StageWorld.h"

namespace Tanagerbay::Experiment {

struct ComparisonSettings
{
    std::vector<Policy> policies;
    // Factors of the scenario's rates.
    std::vector<double> loads;
    std::vector<std::uint64_t> seeds;
};

// The sum of the outcomes of all seeds for one policy and load.
struct ComparisonRow
{
    Policy policy = Policy::Shared;
    double load = 1;
    Outcome total;
    double worth = 0;
    double leastWorth = 0;
    double mostWorth = 0;
};

std::vector<ComparisonRow> compare(const Scenario &scenario, const ComparisonSettings &settings);

// One line a row: worth with its range over the seeds, shares by kind, fill of the calls.
std::string toTable(const Scenario &scenario, const std::vector<ComparisonRow> &rows);

// An SVG picture of the worth by load, one line a policy.
std::string toPlot(const std::vector<ComparisonRow> &rows);

} // namespace Tanagerbay::Experiment
