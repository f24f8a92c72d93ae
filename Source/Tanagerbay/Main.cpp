// Entry point: looks up the subcommand and runs it.
#include "Common/Build.h"
#include "Tanagerbay/Commands.h"

#include <array>
#include <csignal>
#include <iostream>
#include <string_view>

namespace {

namespace Commands = Tanagerbay::Commands;

struct Subcommand
{
    std::string_view name;
    std::string_view summary;
    int (*run)(const Commands::Arguments &arguments);
};

constexpr std::array<Subcommand, 8> kSubcommands = {{
    {"serve", "Run an entry instance", &Commands::serve},
    {"check", "Check settings and lists without starting anything", &Commands::check},
    {"lists", "Read or change the lists of plans and entitlements", &Commands::lists},
    {"dump", "Print the state of an instance", &Commands::dump},
    {"load", "Send requests and report attainment and cost", &Commands::load},
    {"standin", "Run stand-ins for the platform, the engines and the services", &Commands::standIn},
    {"demo", "Run an entry instance and stand-ins in one process and send a few requests",
     &Commands::demo},
    {"experiment", "Simulate requests in the stage queues and compare policies",
     &Commands::experiment},
}};

void printHelp(std::ostream &out)
{
    out << "tanagerbay SUBCOMMAND [OPTIONS]\n\n";
    for (const Subcommand &subcommand : kSubcommands) {
        out << "  " << subcommand.name << std::string(12 - subcommand.name.size(), ' ')
            << subcommand.summary << "\n";
    }
    out << "\nUse SUBCOMMAND --help for its options. Exit codes: 0 success, 1 failure, 2 usage.\n";
}

} // namespace

int main(int argc, char **argv)
{
    // Without this, writing to a connection that the caller has closed would end the process.
    std::signal(SIGPIPE, SIG_IGN);
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    if (arguments.empty()) {
        printHelp(std::cerr);
        return Commands::ExitCode::Usage;
    }
    if (arguments.front() == "--help" || arguments.front() == "-h") {
        printHelp(std::cout);
        return Commands::ExitCode::Success;
    }
    if (arguments.front() == "--version") {
        std::cout << "tanagerbay " << TANAGERBAY_VERSION << " (" << Tanagerbay::Common::buildName()
                  << ")\n";
        return Commands::ExitCode::Success;
    }
    for (const Subcommand &subcommand : kSubcommands) {
        if (subcommand.name == arguments.front())
            return subcommand.run({arguments.begin() + 1, arguments.end()});
    }
    std::cerr << "unknown subcommand: " << arguments.front() << "\n\n";
    printHelp(std::cerr);
    return Commands::ExitCode::Usage;
}
