#include "Node/Instance.h"
#include "Node/Log.h"
#include "Tanagerbay/Support.h"
#include "platform/Adapter.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace Tanagerbay::Commands {

namespace {

// Returns the path of the settings file, from the command line or from the environment variable
// that the command line names.
std::optional<std::string> settingsPath(const cxxopts::ParseResult &result)
{
    if (result.count("settings") > 0)
        return result["settings"].as<std::string>();
    if (result.count("settings-variable") == 0)
        return std::nullopt;
    const std::string variable = result["settings-variable"].as<std::string>();
    const char *path = std::getenv(variable.c_str());
    if (path)
        return std::string(path);
    std::cerr << "environment variable " << variable << " is not set\n";
    return std::nullopt;
}

// Holds a signal to read the settings again back, or delivers it. Until the instance waits for it,
// the signal would end the process.
void maskReloadSignal(int how)
{
    ::sigset_t signals;
    ::sigemptyset(&signals);
    ::sigaddset(&signals, SIGHUP);
    ::pthread_sigmask(how, &signals, nullptr);
}

int serveOnPlatform(Entry::Settings settings, const std::string &path)
{
    Entry::EntryInstance instance(std::move(settings), PlatformAdapter::platform(),
                                  [path] { return readPlatformSettings(path); });
    const std::string problem = instance.run();
    if (!problem.empty())
        std::cerr << problem << "\n";
    // The coroutines of requests that were cut off by the platform's deadline still exist. The
    // process exits without destroying them.
    std::_Exit(problem.empty() ? ExitCode::Success : ExitCode::Failure);
}

} // namespace

int serve(const Arguments &arguments)
{
    maskReloadSignal(SIG_BLOCK);
    cxxopts::Options options("tanagerbay serve",
                             "Runs an entry instance until SIGTERM or a drain.");
    options.add_options()("settings", "Settings file", cxxopts::value<std::string>())(
        "settings-variable", "Environment variable that holds the path of the settings file",
        cxxopts::value<std::string>());
    cxxopts::ParseResult result;
    if (const auto code = parseArguments(options, arguments, result))
        return *code;
    const auto path = settingsPath(result);
    if (!path) {
        std::cerr << "--settings or --settings-variable is required\n" << options.help();
        return ExitCode::Usage;
    }
    if (isForPlatform(*path)) {
        auto settings = readPlatformSettings(*path);
        return settings ? serveOnPlatform(std::move(*settings), *path) : ExitCode::Failure;
    }
    maskReloadSignal(SIG_UNBLOCK);
    auto settings = readEntrySettings(*path);
    if (!settings)
        return ExitCode::Failure;
    Node::configureLog(false);
    Node::Instance instance(std::move(*settings));
    const std::string problem = instance.start();
    if (!problem.empty()) {
        std::cerr << problem << "\n";
        return ExitCode::Failure;
    }
    waitForSignal([&instance] { return instance.phase() > Node::Phase::Serving; });
    instance.drain();
    const bool isDrained = instance.waitUntilDrained();
    return isDrained ? ExitCode::Success : ExitCode::Failure;
}

} // namespace Tanagerbay::Commands
