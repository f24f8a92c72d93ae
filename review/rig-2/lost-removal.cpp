// Several processes of the system are killed at the same moment and start again, while workers are
// replaced one after the other. Some of these leave without saying so: their entries are removed,
// and they go on serving for a while.
#include "rig.h"

#include <cstdio>

using namespace Rig;

namespace {

constexpr double kContactMs = 3000;
constexpr double kDrainMs = 2000;
constexpr int kEntries = 7;
constexpr int kWorkers = 8;
// Kills of several processes at the same moment, how many, and how far apart.
constexpr int kKills = 7;
constexpr int kKilled = 3;
constexpr double kKillGapMs = 10350;
constexpr double kRestartMs = 500;
// Pause between two workers that are replaced, and how long one goes on serving.
constexpr double kLeaveGapMs = 800;
constexpr double kServeOnMs = 10000;

const char kConfiguration[]
    = R"({"version":3,"routes":[{"name":"safe","host":"a.example","path_prefix":"/safe/",)"
      R"("kind":"idempotent","timeout_ms":800,"slo_ms":150,"max_attempts":2,"priority":1,)"
      R"("service":"app"}],"services":[{"name":"app","health_path":"/healthz",)"
      R"("max_connections":100}],"tenants":[{"name":"t1","api_keys":["key-one"]}],)"
      R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
      R"("header_timeout_ms":4000,"idle_timeout_ms":10000}})";

// When a machine was stopped and started.
struct Run
{
    double startedAt = 0;
    double stoppedAt = 1e12;
};

} // namespace

int main(int argc, char **argv)
{
    if (argc < 2)
        return 2;
    openRecord(argv[1]);
    Store store;
    // It has never returned from an older copy.
    store.era = argc > 2 ? argv[2] : "0";
    std::vector<std::unique_ptr<Worker>> workers;
    std::mutex mutex;
    const auto addWorker = [&] {
        const std::lock_guard lock(mutex);
        workers.push_back(std::make_unique<Worker>(
            store, "i-" + std::to_string(workers.size() + 1), "app", 30));
        workers.back()->startBeating();
    };
    for (int i = 0; i < kWorkers; ++i) {
        addWorker();
        sleepMs(140);
    }
    store.put("op", "config", kConfiguration);
    const std::uint16_t peerPort = freePort("127.0.0.11");
    const std::uint16_t forwardPort = freePort("127.0.0.11");
    std::vector<std::unique_ptr<Entry>> entries;
    std::vector<std::vector<Run>> runs(kEntries);
    for (int i = 0; i < kEntries; ++i) {
        entries.push_back(std::make_unique<Entry>(
            "front-" + std::to_string(i + 1), "127.0.0." + std::to_string(11 + i), peerPort,
            forwardPort, store.port,
            std::vector<std::string>{"127.0.0.11:1", "127.0.0.12:1", "127.0.0.13:1"}));
        runs[i].push_back({nowMs()});
    }
    for (const auto &entry : entries) {
        const double until = nowMs() + 10'000;
        while (!entry->isReady()) {
            if (nowMs() > until) {
                record("an entry did not become ready", true);
                finish(2);
            }
            sleepMs(20);
        }
    }
    sleepMs(4000);
    std::atomic<bool> isOver{false};
    std::atomic<int> number{0};
    std::atomic<int> served{0};
    std::map<std::string, std::pair<int, double>> sent;
    std::vector<std::thread> clients;
    for (int i = 0; i < kEntries; ++i) {
        for (int k = 0; k < 3; ++k) {
            clients.emplace_back([&, i] {
                while (!isOver) {
                    const std::string id = "attempt-" + std::to_string(++number);
                    {
                        const std::lock_guard lock(mutex);
                        sent[id] = {i, nowMs()};
                    }
                    const int status
                        = call(*entries[i], "GET", "/safe/x", id, "key-one", 1500).status;
                    served += status == 200 ? 1 : 0;
                    sleepMs(status == 200 ? 10 : 50);
                }
            });
        }
    }
    sleepMs(1000);
    // Workers are replaced one after the other. Every second one says that it is `draining`, and is
    // removed later; of the others the entry is removed.
    std::vector<std::pair<Worker *, double>> left;
    std::thread replacing([&] {
        std::vector<std::pair<double, Worker *>> ending;
        for (std::size_t i = 0; !isOver; ++i) {
            addWorker();
            sleepMs(kLeaveGapMs);
            Worker *worker = nullptr;
            {
                const std::lock_guard lock(mutex);
                worker = workers[i].get();
            }
            const bool says = i % 2 == 1;
            const double leftAt = says ? worker->drain() : worker->leaveUnannounced();
            {
                const std::lock_guard lock(mutex);
                left.emplace_back(worker, leftAt);
            }
            record(worker->id + (says ? " is draining" : ": its entry is removed")
                   + ", which the store acknowledges");
            ending.emplace_back(leftAt + kServeOnMs, worker);
            if (says)
                std::thread([worker] {
                    sleepMs(kDrainMs + 500);
                    worker->leaveUnannounced();
                }).detach();
            while (!ending.empty() && ending.front().first < nowMs()) {
                ending.front().second->end();
                ending.erase(ending.begin());
            }
        }
    });
    sleepMs(3000);
    for (int kill = 0; kill < kKills; ++kill) {
        // Two of them read the store for the others.
        std::vector<int> order;
        for (const bool areReaders : {true, false}) {
            for (int i = 0; i < kEntries; ++i) {
                if (entries[i]->isReader() == areReaders)
                    order.push_back(i);
            }
        }
        std::string names;
        for (int i = 0; i < kKilled && isTroubled(); ++i) {
            names += " " + entries[order[i]]->name;
            const std::lock_guard lock(mutex);
            runs[order[i]].back().stoppedAt = nowMs();
            entries[order[i]]->kill();
        }
        record("killed at the same moment:" + names, true);
        sleepMs(kRestartMs);
        for (int i = 0; i < kKilled && isTroubled(); ++i) {
            entries[order[i]]->start();
            const std::lock_guard lock(mutex);
            runs[order[i]].push_back({nowMs()});
        }
        sleepMs(kKillGapMs - kRestartMs);
    }
    isOver = true;
    for (std::thread &client : clients)
        client.join();
    replacing.join();
    for (const auto &entry : entries) {
        std::string listed;
        const std::string state = entry->state();
        for (const auto &[worker, leftAt] : left) {
            if (state.find("\"id\":\"" + worker->id + "\"") != std::string::npos)
                listed += " " + worker->id;
        }
        record(entry->name + " still lists of those that have left:" + listed, true);
    }
    int late = 0;
    for (const auto &[worker, leftAt] : left) {
        int count = 0;
        double last = 0;
        std::set<std::string> from;
        for (const Arrival &arrival : worker->arrivals()) {
            const auto &[entry, sentAt] = sent[arrival.request.find("Attempt-Id")];
            bool isInTouch = false;
            for (const Run &run : runs[entry])
                isInTouch = isInTouch
                    || (sentAt >= run.startedAt + kContactMs + 50 && arrival.at <= run.stoppedAt);
            if (!isInTouch || arrival.at <= leftAt + kDrainMs + 50)
                continue;
            ++count;
            last = arrival.at;
            from.insert(entries[entry]->name);
        }
        if (count == 0)
            continue;
        late += count;
        std::string names;
        for (const std::string &each : from)
            names += " " + each;
        record("BROKEN: " + std::to_string(count) + " requests reached " + worker->id
                   + " too late, the last one " + std::to_string(last - leftAt)
                   + " ms after its entry was removed, from" + names,
               true);
    }
    record("requests served: " + std::to_string(served)
               + ", reached a worker that had left: " + std::to_string(late),
           true);
    const bool isPlayed = served > 1000;
    entries.clear();
    finish(!isPlayed ? 2 : late > 0 ? 1 : 0);
}
