// A machine is stopped for good while the store is down. The directories of the others must not name
// it any more.
#include "rig.h"

#include <cstdio>

using namespace Rig;

namespace {

constexpr double kContactMs = 4000;
constexpr double kMoreMs = 3000;
constexpr double kDownMs = 4500;
constexpr double kWatchMs = 88000;
constexpr double kAskMs = 100;

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
    std::vector<std::unique_ptr<Worker>> workers;
    for (int i = 1; i <= 2; ++i) {
        workers.push_back(std::make_unique<Worker>(store, "i-" + std::to_string(i), "app", 30));
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
            std::vector<std::string>{"127.0.0.11:1", "127.0.0.12:1", "127.0.0.13:1"}));
    for (const auto &entry : entries) {
        const double until = nowMs() + 10'000;
        while (!entry->isReady()) {
            if (nowMs() > until) {
                record("an entry did not become ready", true);
                return 2;
            }
            sleepMs(20);
        }
    }
    sleepMs(3000);
    const std::string gone = "127.0.0.13:" + std::to_string(entries[2]->callers);
    int before = 0;
    for (int i = 0; i < 2; ++i)
        before += get(entries[i]->ip, entries[i]->directory, "/v1/resolve?name=a.example&zone=z1")
                      .body.find(gone) != std::string::npos;
    std::thread fault([&] {
        if (!isTroubled())
            return;
        record("the store answers 503", true);
        store.isDown = true;
        sleepMs(kDownMs);
        store.isDown = false;
        record("the store is back", true);
    });
    sleepMs(300);
    record("front-3 gets SIGTERM and does not come back", true);
    entries[2]->stopGracefully();
    const double endedAt = nowMs();
    record("front-3 has ended", true);
    fault.join();
    int asked = 0;
    int named = 0;
    while (nowMs() < endedAt + kWatchMs) {
        for (int i = 0; i < 2; ++i) {
            const double at = nowMs();
            const Message answer
                = get(entries[i]->ip, entries[i]->directory, "/v1/resolve?name=a.example&zone=z1");
            if (answer.status != 200 || at < endedAt + kContactMs + kMoreMs)
                continue;
            ++asked;
            if (answer.body.find(gone) == std::string::npos)
                continue;
            ++named;
            record("BROKEN: the directory of " + entries[i]->name + " names front-3 "
                       + std::to_string(at - endedAt) + " ms after its end: " + answer.body,
                   named <= 4);
        }
        sleepMs(kAskMs);
    }
    record("answers of the directory: " + std::to_string(asked) + ", naming the machine that is gone: "
               + std::to_string(named),
           true);
    entries.clear();
    std::_Exit(asked < 100 || before == 0 ? 2 : named > 3 ? 1 : 0);
}
