// The connections to the store that are open go silent, without a reset; new ones work. A change of
// the configuration that comes then, which takes a key away, must be in force at machines in touch.
#include "rig.h"

#include <cstdio>

using namespace Rig;

namespace {

constexpr double kContactMs = 3000;
constexpr double kConfigApplyMs = 2000;

std::string configuration(int version, bool hasSecondKey, bool hasMoreRoutes)
{
    const auto route = [](const std::string &name) {
        return "{\"name\":\"" + name + "\",\"host\":\"a.example\",\"path_prefix\":\"/" + name
            + "/\",\"kind\":\"idempotent\",\"timeout_ms\":800,\"slo_ms\":150,\"max_attempts\":2,"
              "\"priority\":1,\"service\":\"app\"}";
    };
    return "{\"version\":" + std::to_string(version) + ",\"routes\":[" + route("safe")
        + (hasMoreRoutes ? "," + route("idle") : "")
        + "],\"services\":[{\"name\":\"app\",\"health_path\":\"/healthz\",\"max_connections\":100}],"
          "\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"key-one\"]},{\"name\":\"t2\",\"api_keys\":["
        + (hasSecondKey ? "\"key-two\",\"key-two-b\"" : "\"key-two-b\"")
        + "]}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
          "\"header_timeout_ms\":4000,\"idle_timeout_ms\":10000}}";
}

struct Sent
{
    double at = 0;
    std::string key;
    std::string entry;
    std::string id;
    int status = 0;
};

} // namespace

int main(int argc, char **argv)
{
    if (argc < 2)
        return 2;
    openRecord(argv[1]);
    Store store;
    Proxy proxy(store.port);
    std::vector<std::unique_ptr<Worker>> workers;
    for (int i = 1; i <= 3; ++i) {
        workers.push_back(
            std::make_unique<Worker>(store, "i-" + std::to_string(i), "app", 30));
        workers.back()->startBeating();
    }
    store.put("op", "config", configuration(3, true, false));
    const std::uint16_t peerPort = freePort("127.0.0.11");
    const std::uint16_t forwardPort = freePort("127.0.0.11");
    std::vector<std::unique_ptr<Entry>> entries;
    for (int i = 1; i <= 3; ++i)
        entries.push_back(std::make_unique<Entry>(
            "front-" + std::to_string(i), "127.0.0." + std::to_string(10 + i), peerPort,
            forwardPort, proxy.port,
            std::vector<std::string>{"127.0.0.11:1", "127.0.0.12:1", "127.0.0.13:1"}));
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
    std::mutex mutex;
    std::vector<Sent> sent;
    std::atomic<int> number{0};
    std::vector<std::thread> clients;
    for (const auto &entry : entries) {
        for (const std::string key : {"key-one", "key-two"}) {
            clients.emplace_back([&, key] {
                while (!isOver) {
                    Sent each;
                    each.id = "attempt-" + std::to_string(++number);
                    each.key = key;
                    each.entry = entry->name;
                    each.at = nowMs();
                    each.status = call(*entry, "GET", "/safe/x", each.id, key, 1500).status;
                    record("client " + each.id + " to " + each.entry + " with " + key + " sent at "
                           + std::to_string(each.at) + " answered " + std::to_string(each.status));
                    {
                        const std::lock_guard lock(mutex);
                        sent.push_back(each);
                    }
                    sleepMs(60);
                }
            });
        }
    }
    sleepMs(2000);
    store.put("op", "config", configuration(5, true, true));
    record("the operator's version 5 (one more route) is acknowledged", true);
    sleepMs(300);
    const double silentAt = nowMs();
    if (isTroubled()) {
        record("the open connections to the store go silent: " + std::to_string(proxy.openCount()),
               true);
        proxy.silenceOpen();
    }
    sleepMs(400);
    store.put("op", "config", configuration(8, false, true));
    const double acknowledgedAt = nowMs();
    record("the operator's version 8 (key-two is gone) is acknowledged", true);
    const double boundAt
        = std::max(acknowledgedAt + kConfigApplyMs, silentAt + kContactMs) + 50;
    sleepUntilMs(silentAt + 8000);
    isOver = true;
    for (std::thread &client : clients)
        client.join();
    std::set<std::string> ranIds;
    for (const auto &worker : workers) {
        for (const Arrival &arrival : worker->arrivals())
            ranIds.insert(arrival.request.find("Attempt-Id"));
    }
    int late = 0;
    int served = 0;
    double last = 0;
    for (const Sent &each : sent) {
        served += each.key == "key-one" && each.status == 200 ? 1 : 0;
        if (each.key != "key-two" || each.at <= boundAt || !ranIds.contains(each.id))
            continue;
        ++late;
        last = std::max(last, each.at);
        record("BROKEN: " + each.id + " with the key that is gone, sent to " + each.entry + " "
                   + std::to_string(each.at - acknowledgedAt)
                   + " ms after the acknowledgement and "
                   + std::to_string(each.at - silentAt) + " ms after the silence began, has run",
               late <= 3);
    }
    record("requests with key-one served: " + std::to_string(served)
               + ", requests with the gone key that ran too late: " + std::to_string(late)
               + ", the last one " + std::to_string(late ? last - acknowledgedAt : 0)
               + " ms after the acknowledgement",
           true);
    if (served < 50)
        return 2;
    entries.clear();
    finish(late > 0 ? 1 : 0);
}
