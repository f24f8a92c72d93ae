#include "Lists/Snapshot.h"
#include "Tanagerbay/Support.h"

#include <iostream>

namespace Tanagerbay::Commands {

namespace {

// Checks both lists against one another. Returns whether there was no fault.
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
    const bool plansGood = checkOne(Lists::ListKind::Plans, plansPath, *plans);
    return checkOne(Lists::ListKind::Entitlements, entitlementsPath, *entitlements) && plansGood;
}

} // namespace

int check(const Words &words)
{
    cxxopts::Options options("tanagerbay check",
                             "Checks files and reports every fault, without starting anything.");
    options.add_options()("settings", "Settings of an entry instance",
                          cxxopts::value<std::string>())("standins", "Settings of the stand-ins",
                                                         cxxopts::value<std::string>())(
        "workload", "Workload of the load generator", cxxopts::value<std::string>())(
        "plans", "List of plans; needs --entitlements too", cxxopts::value<std::string>())(
        "entitlements", "List of entitlements; needs --plans too", cxxopts::value<std::string>());
    cxxopts::ParseResult result;
    if (const auto code = parseWords(options, words, result))
        return *code;
    const auto given = [&result](const char *name) { return result.count(name) > 0; };
    const auto path = [&result](const char *name) { return result[name].as<std::string>(); };
    const bool any = given("settings") || given("standins") || given("workload") || given("plans");
    if (!any || given("plans") != given("entitlements")) {
        std::cerr << "name at least one file; --plans and --entitlements go together\n"
                  << options.help();
        return ExitCode::Usage;
    }
    bool good = true;
    if (given("settings")) {
        const bool read = isForPlatform(path("settings"))
            ? readPlatformSettings(path("settings")).has_value()
            : readEntrySettings(path("settings")).has_value();
        good = read && good;
    }
    if (given("standins"))
        good = readStandInSettings(path("standins")).has_value() && good;
    if (given("workload"))
        good = readWorkload(path("workload")).has_value() && good;
    if (given("plans"))
        good = checkLists(path("plans"), path("entitlements")) && good;
    if (good)
        std::cout << "no faults\n";
    return good ? ExitCode::Success : ExitCode::Failure;
}

} // namespace Tanagerbay::Commands
