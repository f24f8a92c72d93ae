#include "StandIns/Host.h"
#include "Tanagerbay/Support.h"

#include <iostream>

namespace Tanagerbay::Commands {

int standIn(const Arguments &arguments)
{
    cxxopts::Options options("tanagerbay standin",
                             "Runs stand-ins for the platform, the engines, the pools and the "
                             "services until SIGTERM.");
    options.add_options()("settings", "Settings file", cxxopts::value<std::string>())(
        "entries", "Maximum number of entry instances to list", cxxopts::value<std::size_t>());
    cxxopts::ParseResult result;
    if (const auto code = parseArguments(options, arguments, result))
        return *code;
    if (result.count("settings") == 0) {
        std::cerr << "--settings is required\n" << options.help();
        return ExitCode::Usage;
    }
    auto settings = readStandInSettings(result["settings"].as<std::string>());
    if (!settings)
        return ExitCode::Failure;
    if (result.count("entries") > 0) {
        const std::size_t maxEntries = result["entries"].as<std::size_t>();
        settings->entries.resize(std::min(maxEntries, settings->entries.size()));
    }
    StandIns::Host host(std::move(*settings));
    const std::string problem = host.start();
    if (!problem.empty()) {
        std::cerr << problem << "\n";
        return ExitCode::Failure;
    }
    std::cout << "stand-ins are ready" << std::endl;
    waitForSignal([] { return false; });
    host.stop();
    return ExitCode::Success;
}

} // namespace Tanagerbay::Commands
