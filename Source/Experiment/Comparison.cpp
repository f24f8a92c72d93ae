#include "Experiment/Comparison.h"

#include <algorithm>
#include <array>
#include <iomanip>
#include <sstream>

namespace Tanagerbay::Experiment {

namespace {

// Size and margin of the plot in pixels.
constexpr double kWidth = 640;
constexpr double kHeight = 400;
constexpr double kMargin = 50;
constexpr std::array<const char *, 4> kColours = {"#1b6ca8", "#c0392b", "#e08e0b", "#5d6d7e"};

void addOutcome(Outcome &total, const Outcome &one)
{
    total.kinds.resize(one.kinds.size());
    for (std::size_t i = 0; i < one.kinds.size(); ++i) {
        total.kinds[i].arrivals += one.kinds[i].arrivals;
        total.kinds[i].onTime += one.kinds[i].onTime;
        total.kinds[i].late += one.kinds[i].late;
        total.kinds[i].unserved += one.kinds[i].unserved;
        total.kinds[i].refusals += one.kinds[i].refusals;
        total.kinds[i].refusedAgain += one.kinds[i].refusedAgain;
    }
    total.calls += one.calls;
    total.pieces += one.pieces;
    total.refusedCalls += one.refusedCalls;
    total.noRoom += one.noRoom;
    total.inputsGone += one.inputsGone;
}

double shareOf(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

ComparisonRow runSeeds(const Scenario &scenario, Policy policy, double load,
                       const std::vector<std::uint64_t> &seeds)
{
    ComparisonRow row{policy, load, {}, 0, 1, 0};
    for (const std::uint64_t seed : seeds) {
        const Outcome outcome = StageSimulation(scenario, policy, load, seed).run();
        addOutcome(row.total, outcome);
        const double worth = worthOf(scenario, outcome);
        row.minWorth = std::min(row.minWorth, worth);
        row.maxWorth = std::max(row.maxWorth, worth);
    }
    row.worth = worthOf(scenario, row.total);
    return row;
}

} // namespace

std::vector<ComparisonRow> compare(const Scenario &scenario, const ComparisonSettings &settings)
{
    std::vector<ComparisonRow> rows;
    for (const Policy policy : settings.policies) {
        for (const double load : settings.loads)
            rows.push_back(runSeeds(scenario, policy, load, settings.seeds));
    }
    return rows;
}

std::string toTable(const Scenario &scenario, const std::vector<ComparisonRow> &rows)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(3);
    text << "policy         load  worth (min, max)     pieces per call  refused calls  no room  "
            "inputs gone\n";
    for (const ComparisonRow &row : rows) {
        text << std::left << std::setw(13) << Common::nameOf(row.policy) << std::right
             << std::setprecision(2) << std::setw(6) << row.load << std::setprecision(3) << "  "
             << row.worth << " (" << row.minWorth << ", " << row.maxWorth << ")"
             << std::setprecision(1) << std::setw(18) << shareOf(row.total.pieces, row.total.calls)
             << std::setw(15) << row.total.refusedCalls << std::setw(9) << row.total.noRoom
             << std::setw(13) << row.total.inputsGone << "\n"
             << std::setprecision(3);
        for (std::size_t i = 0; i < row.total.kinds.size(); ++i) {
            const KindOutcome &kind = row.total.kinds[i];
            text << "  " << std::left << std::setw(18) << scenario.kinds[i].name << std::right
                 << std::setw(8) << kind.arrivals << " requests, on time "
                 << shareOf(kind.onTime, kind.arrivals) << ", late "
                 << shareOf(kind.late, kind.arrivals) << ", not served "
                 << shareOf(kind.unserved, kind.arrivals) << ", refused " << kind.refusals
                 << ", again " << kind.refusedAgain << "\n";
        }
    }
    return text.str();
}

std::string toPlot(const std::vector<ComparisonRow> &rows)
{
    double maxLoad = 0;
    for (const ComparisonRow &row : rows)
        maxLoad = std::max(maxLoad, row.load);
    const auto x = [maxLoad](double load) {
        return kMargin + load / std::max(maxLoad, 1e-9) * (kWidth - 2 * kMargin);
    };
    const auto y = [](double worth) { return kHeight - kMargin - worth * (kHeight - 2 * kMargin); };
    std::ostringstream svg;
    svg << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << kWidth << "\" height=\""
        << kHeight
        << "\" font-family=\"sans-serif\" font-size=\"12\">\n<rect width=\"100%\" height=\"100%\" "
           "fill=\"white\"/>\n";
    for (int tenth = 0; tenth <= 10; tenth += 2) {
        const double at = y(tenth / 10.0);
        svg << "<line x1=\"" << kMargin << "\" y1=\"" << at << "\" x2=\"" << kWidth - kMargin
            << "\" y2=\"" << at << "\" stroke=\"#dddddd\"/><text x=\"20\" y=\"" << at + 4 << "\">"
            << tenth / 10.0 << "</text>\n";
    }
    svg << "<text x=\"" << kWidth / 2 - 60 << "\" y=\"" << kHeight - 10
        << "\">load factor</text><text x=\"10\" y=\"20\">earned worth / offered worth"
           "</text>\n";
    std::vector<Policy> policies;
    for (const ComparisonRow &row : rows) {
        if (std::find(policies.begin(), policies.end(), row.policy) == policies.end())
            policies.push_back(row.policy);
    }
    for (std::size_t i = 0; i < policies.size(); ++i) {
        const char *colour = kColours[i % kColours.size()];
        svg << "<polyline fill=\"none\" stroke-width=\"2\" stroke=\"" << colour << "\" points=\"";
        for (const ComparisonRow &row : rows) {
            if (row.policy == policies[i])
                svg << x(row.load) << "," << y(row.worth) << " ";
        }
        svg << "\"/>\n<text fill=\"" << colour << "\" x=\"" << kWidth - kMargin - 100 << "\" y=\""
            << kMargin + 16 * static_cast<double>(i) << "\">" << Common::nameOf(policies[i])
            << "</text>\n";
        for (const ComparisonRow &row : rows) {
            if (i == 0 && row.policy == policies[i]) {
                svg << "<text x=\"" << x(row.load) - 8 << "\" y=\"" << kHeight - kMargin + 16
                    << "\">" << row.load << "</text>\n";
            }
        }
    }
    svg << "</svg>\n";
    return svg.str();
}

} // namespace Tanagerbay::Experiment
