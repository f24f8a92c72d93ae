#include "Experiment/Comparison.h"
#include "Tanagerbay/Support.h"

#include <fstream>
#include <iostream>

namespace Tanagerbay::Commands {

namespace {

std::optional<Experiment::Scenario> readScenario(const std::string &path)
{
    const auto text = readFile(path);
    if (!text)
        return std::nullopt;
    Common::JsonFaults faults;
    const auto document = Common::parseJson(*text, faults);
    std::optional<Experiment::Scenario> scenario;
    if (document)
        scenario = Experiment::readScenario(*document, faults);
    if (faults.empty())
        return scenario;
    std::cerr << path << ":\n" << Common::describeFaults(faults);
    return std::nullopt;
}

std::optional<std::vector<Experiment::Policy>> readPolicies(const std::vector<std::string> &names)
{
    std::vector<Experiment::Policy> policies;
    for (const std::string &name : names) {
        const auto policy = Common::valueNamed<Experiment::Policy>(name);
        if (!policy) {
            std::cerr << "--policies: unknown policy " << name << "\n";
            return std::nullopt;
        }
        policies.push_back(*policy);
    }
    return policies;
}

bool writePlot(const std::string &path, const std::string &plot)
{
    std::ofstream file(path);
    file << plot;
    file.close();
    if (file)
        return true;
    std::cerr << path << ": cannot be written\n";
    return false;
}

} // namespace

int experiment(const Arguments &arguments)
{
    cxxopts::Options options(
        "tanagerbay experiment",
        "Simulates requests in the stage queues under several policies and loads, and prints what "
        "their callers receive. The same seeds give the same results.");
    options.add_options()("scenario", "Scenario file, such as Examples/experiments/lessons.json",
                          cxxopts::value<std::string>())(
        "policies", "shared, per-instance, first-come, random, no-admission",
        cxxopts::value<std::vector<std::string>>()->default_value(
            "shared,per-instance,first-come,random,no-admission"))(
        "loads", "Factors by which the scenario's rates are multiplied",
        cxxopts::value<std::vector<double>>()->default_value("0.5,1,1.5"))(
        "seeds", "Number of seeds, counted from 1",
        cxxopts::value<std::uint64_t>()->default_value("3"))(
        "plot", "Write an SVG plot of the worth by load to this file",
        cxxopts::value<std::string>());
    cxxopts::ParseResult result;
    if (const auto code = parseArguments(options, arguments, result))
        return *code;
    if (result.count("scenario") == 0) {
        std::cerr << "--scenario is required\n" << options.help();
        return ExitCode::Usage;
    }
    const auto policies = readPolicies(result["policies"].as<std::vector<std::string>>());
    if (!policies)
        return ExitCode::Usage;
    Experiment::ComparisonSettings settings;
    settings.policies = *policies;
    settings.loads = result["loads"].as<std::vector<double>>();
    const bool loadsAreValid = std::all_of(settings.loads.begin(), settings.loads.end(),
                                           [](double load) { return load > 0 && load <= 100; });
    const std::uint64_t seeds = result["seeds"].as<std::uint64_t>();
    if (!loadsAreValid || seeds == 0) {
        std::cerr << "--loads must be above 0 and at most 100, --seeds above 0\n";
        return ExitCode::Usage;
    }
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
        settings.seeds.push_back(seed);
    const auto scenario = readScenario(result["scenario"].as<std::string>());
    if (!scenario)
        return ExitCode::Failure;
    const auto rows = Experiment::compare(*scenario, settings);
    std::cout << Experiment::toTable(*scenario, rows);
    if (result.count("plot") > 0
        && !writePlot(result["plot"].as<std::string>(), Experiment::toPlot(rows)))
        return ExitCode::Failure;
    return ExitCode::Success;
}

} // namespace Tanagerbay::Commands
