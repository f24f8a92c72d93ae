// One machine is partitioned from the store for some seconds. Soon after it is back, workers leave
// without saying so: their entries are removed. The machine must stop sending to them in time.
#include "rig.h"

#include <cstdio>

using namespace Rig;

namespace {

constexpr double kContactMs = 3000;
constexpr double kDrainMs = 2000;
constexpr double kCutMs = 4000;
constexpr int kCuts = 4;
// When the workers leave, after the end of the cut.
constexpr double kLeaveMs[] = {700, 1050, 1400};

const char kConfiguration[]
    = R"({"version":3,"routes":[{"name":"safe","host":"a.example","path_prefix":"/safe/",)"
      R"("kind":"idempotent","timeout_ms":800,"slo_ms":150,"max_attempts":2,"priority":1,)"
      R"("service":"app"}],"services":[{"name":"app","health_path":"/healthz",)"
      R"("max_connections":100}],"tenants":[{"name":"t1","api_keys":["key-one"]}],)"
      R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
      R"("header_timeout_ms":4000,"idle_timeout_ms":10000}})";

} // namespace

int main(int argc, char **argv)
{
    if (argc < 2)
        return 2;
    openRecord(argv[1]);
    Store store;
    Proxy proxy(store.port);
    std::vector<std::unique_ptr<Worker>> workers;
    for (int i = 1; i <= 12; ++i) {
        workers.push_back(
            std::make_unique<Worker>(store, "i-" + std::to_string(i), "app", 30));
        workers.back()->startBeating();
        sleepMs(95);
    }
    store.put("op", "config", kConfiguration);
    const std::uint16_t peerPort = freePort("127.0.0.11");
    const std::uint16_t forwardPort = freePort("127.0.0.11");
    std::vector<std::unique_ptr<Entry>> entries;
    for (int i = 1; i <= 2; ++i)
        entries.push_back(std::make_unique<Entry>(
            "front-" + std::to_string(i), "127.0.0." + std::to_string(10 + i), peerPort,
            forwardPort, i == 1 ? proxy.port : store.port,
            std::vector<std::string>{"127.0.0.11:1", "127.0.0.12:1"}));
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
    sleepMs(5000);
    std::atomic<bool> isOver{false};
    std::atomic<int> number{0};
    std::atomic<int> served{0};
    std::vector<std::thread> clients;
    for (int i = 0; i < 10; ++i) {
        clients.emplace_back([&] {
            while (!isOver) {
                const std::string id = "attempt-" + std::to_string(++number);
                const double at = nowMs();
                const int status
                    = call(*entries[0], "GET", "/safe/x", id, "key-one", 1500).status;
                served += status == 200 ? 1 : 0;
                record("client " + id + " to front-1 sent at " + std::to_string(at) + " answered "
                       + std::to_string(status));
                sleepMs(10);
            }
        });
    }
    sleepMs(2000);
    int late = 0;
    std::size_t next = 0;
    for (int cut = 1; cut <= kCuts; ++cut) {
        if (isTroubled()) {
            record("front-1 is partitioned from the store", true);
            proxy.setRefusing(true);
        }
        sleepMs(kCutMs);
        proxy.setRefusing(false);
        const double healedAt = nowMs();
        record("the partition has ended", true);
        std::vector<std::pair<Worker *, double>> left;
        for (const double leaveMs : kLeaveMs) {
            sleepUntilMs(healedAt + leaveMs);
            Worker *worker = workers[next++].get();
            left.emplace_back(worker, worker->leaveUnannounced());
            record("the entry of " + worker->id + " is removed, which the store acknowledges");
            // Another one takes its place.
            workers.push_back(std::make_unique<Worker>(
                store, "i-" + std::to_string(workers.size() + 1), "app", 30));
            workers.back()->startBeating();
        }
        sleepUntilMs(healedAt + 6500);
        for (const auto &[worker, leftAt] : left) {
            const double boundAt = std::max(leftAt + kDrainMs, healedAt + kContactMs) + 50;
            double last = 0;
            for (const Arrival &arrival : worker->arrivals()) {
                last = std::max(last, arrival.at);
                if (arrival.at <= boundAt)
                    continue;
                ++late;
                record("BROKEN: " + arrival.request.find("Attempt-Id") + " reached " + worker->id
                           + " " + std::to_string(arrival.at - leftAt)
                           + " ms after the acknowledgement",
                       late <= 3);
            }
            record("the last request reached " + worker->id + " " + std::to_string(last - leftAt)
                       + " ms after its entry was removed, " + std::to_string(last - healedAt)
                       + " ms after the partition had ended",
                   true);
        }
    }
    isOver = true;
    for (std::thread &client : clients)
        client.join();
    record("requests served: " + std::to_string(served) + ", reached a worker that had left: "
               + std::to_string(late),
           true);
    for (const std::string &line : {std::string("store-lost"), std::string("store-regained")}) {
        const std::string log = entries[0]->log();
        for (auto at = log.find(line); at != std::string::npos; at = log.find(line, at + 1)) {
            const auto from = log.rfind('\n', at) + 1;
            record("log of front-1: " + log.substr(from, log.find('\n', at) - from));
        }
    }
    const bool isPlayed = served > 200;
    entries.clear();
    finish(!isPlayed ? 2 : late > 0 ? 1 : 0);
}
