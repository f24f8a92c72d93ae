#include "Load/Generator.h"
#include "Tanagerbay/Support.h"

#include <iostream>
#include <sstream>

namespace Tanagerbay::Commands {

namespace {

std::vector<std::string> splitList(const std::string &text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    std::string part;
    while (std::getline(stream, part, ','))
        parts.push_back(part);
    return parts;
}

bool parseTargets(const std::string &text, std::vector<Http::Address> &targets)
{
    for (const std::string &part : splitList(text)) {
        const auto address = readAddress(part);
        if (!address)
            return false;
        targets.push_back(*address);
    }
    return !targets.empty();
}

// Applies a mix such as `ask=3,worksheet=1`. Actions that it does not name are removed.
bool applyMix(const std::string &mix, Load::Workload &workload)
{
    for (Load::ActionSettings &action : workload.actions)
        action.weight = 0;
    for (const std::string &part : splitList(mix)) {
        const std::size_t equals = part.find('=');
        bool isKnown = false;
        for (Load::ActionSettings &action : workload.actions) {
            if (equals == std::string::npos || action.name != part.substr(0, equals))
                continue;
            action.weight = std::atof(part.c_str() + equals + 1);
            isKnown = true;
        }
        if (!isKnown) {
            std::cerr << "the workload has no action for " << part << "\n";
            return false;
        }
    }
    std::erase_if(workload.actions,
                  [](const Load::ActionSettings &action) { return action.weight <= 0; });
    return !workload.actions.empty();
}

void addOptions(cxxopts::Options &options)
{
    options.add_options()(
        "targets", "Addresses from which to request the list of entries first: ip:port,...",
        cxxopts::value<std::string>())("workload", "Workload file", cxxopts::value<std::string>())(
        "plan-mix", "Weights by action instead of those in the workload file: name=weight,...",
        cxxopts::value<std::string>())(
        "control", "Control port of the stand-ins, used to check run counts and costs",
        cxxopts::value<std::string>())("rate", "Requests per second",
                                       cxxopts::value<double>()->default_value("20"))(
        "seconds", "Duration of the run in seconds", cxxopts::value<double>()->default_value("10"))(
        "seed", "Seed of the arrivals and the requests",
        cxxopts::value<std::uint64_t>()->default_value("1"))(
        "threads", "Threads", cxxopts::value<std::size_t>()->default_value("2"))(
        "burst-every", "Seconds between the starts of two bursts; 0 for no bursts",
        cxxopts::value<double>()->default_value("0"))(
        "burst-factor", "Ratio of the rate within a burst to the rate outside",
        cxxopts::value<double>()->default_value("1"))("burst-seconds",
                                                      "Duration of a burst in seconds",
                                                      cxxopts::value<double>()->default_value("0"))(
        "json", "Print the report as JSON", cxxopts::value<bool>()->default_value("false"));
}

} // namespace

int load(const Arguments &arguments)
{
    cxxopts::Options options(
        "tanagerbay load",
        "Sends requests like callers that wait for the response, checks every response, and prints "
        "attainment by plan and cost by stage. Fails if a guarantee was violated.");
    addOptions(options);
    cxxopts::ParseResult result;
    if (const auto code = parseArguments(options, arguments, result))
        return *code;
    if (result.count("targets") == 0 || result.count("workload") == 0) {
        std::cerr << "--targets and --workload are required\n" << options.help();
        return ExitCode::Usage;
    }
    Load::GeneratorSettings settings;
    if (!parseTargets(result["targets"].as<std::string>(), settings.targets))
        return ExitCode::Usage;
    if (result.count("control") > 0) {
        settings.control = readAddress(result["control"].as<std::string>());
        if (!settings.control)
            return ExitCode::Usage;
    }
    settings.ratePerSecond = result["rate"].as<double>();
    settings.seconds = result["seconds"].as<double>();
    settings.seed = result["seed"].as<std::uint64_t>();
    settings.threads = result["threads"].as<std::size_t>();
    settings.burstEvery = result["burst-every"].as<double>();
    settings.burstFactor = result["burst-factor"].as<double>();
    settings.burstSeconds = result["burst-seconds"].as<double>();
    if (settings.ratePerSecond <= 0 || settings.seconds <= 0 || settings.threads == 0
        || settings.burstFactor <= 0) {
        std::cerr << "--rate, --seconds, --threads and --burst-factor must be above zero\n";
        return ExitCode::Usage;
    }
    auto workload = readWorkload(result["workload"].as<std::string>());
    if (!workload)
        return ExitCode::Failure;
    if (result.count("plan-mix") > 0 && !applyMix(result["plan-mix"].as<std::string>(), *workload))
        return ExitCode::Usage;
    const Load::Report report = Load::generateLoad(settings, *workload);
    if (result["json"].as<bool>())
        std::cout << boost::json::serialize(report.toJson(settings.seconds)) << "\n";
    else
        std::cout << report.toText(settings.seconds);
    return report.violationCount() == 0 ? ExitCode::Success : ExitCode::Failure;
}

} // namespace Tanagerbay::Commands
