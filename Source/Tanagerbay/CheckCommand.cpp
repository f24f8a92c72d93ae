#include "Lists/Snapshot.h"
#include "Tanagerbay/Support.h"

#include <iostream>

namespace Tanagerbay::Commands {

namespace {

// Checks the plans, and the entitlements together with the plans. Returns whether there was no
// fault.
bool checkLists(const std::string &plansPath, const std::string &entitlementsPath)
{
    const auto plans = readFile(plansPath);
    const auto entitlements = readFile(entitlementsPath);
    if (!plans || !entitlements)
        return false;
    auto snapshot = std::make_shared<const Lists::Snapshot>();
    const auto checkOne = [&snapshot](Lists::ListKind kind, const std::string &path,
                                      const std::string &body) {
        const Lists::EditCheck check = Lists::checkEdit(*snapshot, kind, body);
        if (!check.faults.empty())
            std::cerr << path << ":\n" << Common::describeFaults(check.faults) << "\n";
        const bool last = kind == Lists::ListKind::Entitlements;
        if (last && !check.warnings.empty())
            std::cerr << path << ": warnings:\n" << Common::describeFaults(check.warnings) << "\n";
        snapshot = Lists::applyDocument(snapshot, kind, {1, "check", body}).snapshot;
        return check.faults.empty();
    };
    const bool arePlansValid = checkOne(Lists::ListKind::Plans, plansPath, *plans);
    return checkOne(Lists::ListKind::Entitlements, entitlementsPath, *entitlements)
        && arePlansValid;
}

} // namespace

int check(const Arguments &arguments)
{
    cxxopts::Options options("tanagerbay check",
                             "Checks files and reports every fault without starting an instance.");
    options.add_options()("settings", "Settings of an entry instance",
                          cxxopts::value<std::string>())("standins", "Settings of the stand-ins",
                                                         cxxopts::value<std::string>())(
        "workload", "Workload of the load generator", cxxopts::value<std::string>())(
        "plans", "List of plans; requires --entitlements", cxxopts::value<std::string>())(
        "entitlements", "List of entitlements; requires --plans", cxxopts::value<std::string>());
    cxxopts::ParseResult result;
    if (const auto code = parseArguments(options, arguments, result))
        return *code;
    const auto isGiven = [&result](const char *name) { return result.count(name) > 0; };
    const auto path = [&result](const char *name) { return result[name].as<std::string>(); };
    const bool hasFile
        = isGiven("settings") || isGiven("standins") || isGiven("workload") || isGiven("plans");
    if (!hasFile || isGiven("plans") != isGiven("entitlements")) {
        std::cerr
            << "at least one file is required; --plans and --entitlements must be given together\n"
            << options.help();
        return ExitCode::Usage;
    }
    bool isValid = true;
    if (isGiven("settings")) {
        const bool read = isForPlatform(path("settings"))
            ? readPlatformSettings(path("settings")).has_value()
            : readEntrySettings(path("settings")).has_value();
        isValid = read && isValid;
    }
    if (isGiven("standins"))
        isValid = readStandInSettings(path("standins")).has_value() && isValid;
    if (isGiven("workload"))
        isValid = readWorkload(path("workload")).has_value() && isValid;
    if (isGiven("plans"))
        isValid = checkLists(path("plans"), path("entitlements")) && isValid;
    if (isValid)
        std::cout << "no faults found\n";
    return isValid ? ExitCode::Success : ExitCode::Failure;
}

} // namespace Tanagerbay::Commands
