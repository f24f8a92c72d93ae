// Simulates a scenario under several policies and loads and formats the outcomes as a table and a
// plot.
#pragma once

#include "Experiment/StageSimulation.h"

namespace Tanagerbay::Experiment {

struct ComparisonSettings
{
    std::vector<Policy> policies;
    // Factors applied to the scenario's arrival rates.
    std::vector<double> loads;
    std::vector<std::uint64_t> seeds;
};

// Outcomes of all seeds for one policy and load: totals and the range of the worth over the seeds.
struct ComparisonRow
{
    Policy policy = Policy::Shared;
    double load = 1;
    Outcome total;
    double worth = 0;
    double minWorth = 0;
    double maxWorth = 0;
};

std::vector<ComparisonRow> compare(const Scenario &scenario, const ComparisonSettings &settings);

// Formats each row as a line with the worth, its range over the seeds and the mean pieces per call,
// followed by a line per request kind with the shares of its outcomes.
std::string toTable(const Scenario &scenario, const std::vector<ComparisonRow> &rows);

// Returns an SVG plot of worth over load, with one line per policy.
std::string toPlot(const std::vector<ComparisonRow> &rows);

} // namespace Tanagerbay::Experiment
