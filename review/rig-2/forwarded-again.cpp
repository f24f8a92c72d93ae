// One machine is partitioned from all workers and passes its requests on to another one, which is
// killed. No request may run on more workers than its route's `max_attempts`.
#include "rig.h"

#include <cstdio>

using namespace Rig;

namespace {

constexpr int kRequests = 36;

const char kConfiguration[]
    = R"({"version":3,"routes":[{"name":"safe","host":"a.example","path_prefix":"/safe/",)"
      R"("kind":"idempotent","timeout_ms":5000,"slo_ms":2000,"max_attempts":1,"priority":1,)"
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
    store.era = "1";
    std::vector<std::unique_ptr<Worker>> workers;
    for (int i = 1; i <= 4; ++i) {
        workers.push_back(
            std::make_unique<Worker>(store, "i-" + std::to_string(i), "app", 700));
        workers.back()->startBeating();
    }
    store.put("op", "config", kConfiguration);
    const std::uint16_t peerPort = freePort("127.0.0.11");
    const std::uint16_t forwardPort = freePort("127.0.0.11");
    std::vector<std::unique_ptr<Entry>> entries;
    for (int i = 1; i <= 3; ++i)
        entries.push_back(std::make_unique<Entry>(
            "front-" + std::to_string(i), "127.0.0." + std::to_string(10 + i), peerPort,
            forwardPort, store.port,
            std::vector<std::string>{"127.0.0.11:1", "127.0.0.12:1", "127.0.0.13:1"}, true));
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
    sleepMs(3000);
    std::atomic<bool> isOver{false};
    std::atomic<int> number{0};
    std::atomic<int> served{0};
    std::vector<std::thread> clients;
    // Usual traffic at all machines.
    for (const auto &entry : entries) {
        for (int k = 0; k < 2; ++k) {
            clients.emplace_back([&, at = entry.get()] {
                while (!isOver) {
                    const std::string id = "usual-" + std::to_string(++number);
                    const int status = call(*at, "GET", "/safe/x", id, "key-one", 5000).status;
                    served += status == 200 ? 1 : 0;
                    sleepMs(100);
                }
            });
        }
    }
    sleepMs(3000);
    if (isTroubled()) {
        record("front-1 is partitioned from all workers", true);
        for (const auto &worker : workers)
            worker->cutOff(entries[0]->ip);
    }
    sleepMs(3000);
    std::vector<std::thread> burst;
    for (int i = 0; i < kRequests; ++i) {
        burst.emplace_back([&, i] {
            const std::string id = "request-" + std::to_string(i);
            const Answer answer = call(*entries[0], "GET", "/safe/x", id, "key-one", 5000);
            record("client " + id + " answered " + std::to_string(answer.status));
        });
    }
    sleepMs(350);
    if (isTroubled()) {
        record("front-2 is killed", true);
        entries[1]->kill();
        sleepMs(500);
        entries[1]->start();
    }
    for (std::thread &each : burst)
        each.join();
    isOver = true;
    for (std::thread &client : clients)
        client.join();
    std::map<std::string, std::set<std::string>> ranAt;
    std::map<std::string, int> runs;
    for (const auto &worker : workers) {
        for (const Arrival &arrival : worker->arrivals()) {
            ranAt[arrival.request.find("Attempt-Id")].insert(worker->id);
            ++runs[arrival.request.find("Attempt-Id")];
        }
    }
    int tooMany = 0;
    int twice = 0;
    for (const auto &[id, where] : ranAt) {
        twice += runs[id] > 1 ? 1 : 0;
        if (where.size() <= 1)
            continue;
        ++tooMany;
        std::string names;
        for (const std::string &each : where)
            names += " " + each;
        record(id + " has run at" + names, tooMany <= 4);
    }
    record("usual requests served: " + std::to_string(served) + ", requests that ran twice: "
               + std::to_string(twice) + ", on more workers than max_attempts (1): "
               + std::to_string(tooMany),
           true);
    const bool isPlayed = served > 20;
    entries.clear();
    finish(!isPlayed ? 2 : tooMany > 3 ? 1 : 0);
}
