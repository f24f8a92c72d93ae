// Plays endpoints and callers on real processes and a real kernel against any build of the program,
// and counts the answers that break a rule. Arguments: program, seed, seconds, site, folder.
// Started with --worker it is one of its own workers. See run.sh.
#include "Verdict.h"

using namespace Review;

namespace {

constexpr int kEntries = 3;
constexpr int kStreamCallers = 20;
constexpr int kPlainCallers = 12;

int numberFrom(const char *variable)
{
    const char *value = std::getenv(variable);
    return value ? std::atoi(value) : 0;
}

int play(const Site &site, std::uint64_t seed, int seconds, Deployment &deployment)
{
    Fleet fleet(deployment, site, seed);
    if (!fleet.start())
        return kNotRun;
    deployment.store.put("op", "config", site.config());
    std::thread rows([&] { fleet.keepRows(); });
    deployment.startEntries(kEntries);
    int code = kNotRun;
    if (deployment.waitUntilSettled(kModelWorkers + kPlainWorkers)) {
        const auto until = Clock::now() + std::chrono::seconds(seconds);
        Callers callers(deployment, site, seed, until);
        EntryTroubles entryTroubles(deployment, seed, until);
        std::vector<std::thread> troubles;
        if (Troubles::has("srv_crash")) {
            troubles.emplace_back([&] { fleet.killInTurn(true, until); });
            troubles.emplace_back([&] { fleet.killInTurn(false, until); });
        }
        if (Troubles::has("silent"))
            troubles.emplace_back([&] { fleet.silenceInTurn(until); });
        entryTroubles.begin();
        callers.run(kStreamCallers, kPlainCallers);
        for (std::thread &trouble : troubles)
            trouble.join();
        entryTroubles.join();
        code = Verdict(fleet, entryTroubles, site, deployment).judge(callers.outcomes);
        std::cout << "connects that failed: " << callers.failedConnects << "\n";
        if (Troubles::has("stops"))
            std::cout << "processes that ended late: " << entryTroubles.endedLate << "\n";
        for (const auto &entry : deployment.entries) {
            if (!entry->isRunning())
                std::cout << entry->name << " " << entry->ending() << "\n";
        }
    } else {
        std::cout << "the processes did not become ready\n";
    }
    fleet.stopRows();
    rows.join();
    return code;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    if (argumentCount == 12 && std::string(arguments[1]) == "--worker")
        return WorkerProcess(arguments + 2).run();
    if (argumentCount != 6) {
        std::cerr << "usage: rig PROGRAM SEED SECONDS SITE FOLDER\n";
        return kNotRun;
    }
    if (!Troubles::areKnown()) {
        std::cerr << "unknown trouble in " << Troubles::text() << "\n";
        return kNotRun;
    }
    const std::uint64_t seed = std::strtoull(arguments[2], nullptr, 10);
    const std::string folder = arguments[5];
    std::string record = folder + "/record.txt";
    std::string root = folder;
    std::vector<char *> places{arguments[0], record.data(), root.data(), arguments[5]};
    Deployment deployment(static_cast<int>(places.size()), places.data());
    deployment.launch = {arguments[1], numberFrom("FILES")};
    const Site &site = WorkerProcess::siteNamed(arguments[4]);
    std::cout << "site " << site.name << ", seed " << seed << ", " << arguments[3]
              << " s, troubles " << Troubles::text() << std::endl;
    const int code = play(site, seed, std::atoi(arguments[3]), deployment);
    std::cout << (code == kHeld         ? "held"
                      : code == kBroken ? "broken"
                                        : "not run")
              << ", seed " << seed << std::endl;
    deployment.end(code);
}
