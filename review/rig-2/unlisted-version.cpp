// A worker is partitioned from the store, and crashes and starts again behind the cut as another
// software version. Streams begin there. Then all processes of the system are killed, and the
// clients take their streams up again. Without trouble, clients close their connections themselves.
#include "rig.h"

#include <cstdio>
#include <sstream>

#include <unistd.h>

using namespace Rig;

namespace {

constexpr int kEntries = 3;
constexpr int kStreams = 60;
constexpr double kEventMs = 60;
constexpr int kEvents = 200;
constexpr double kBeatMs = 1200;
constexpr double kCutMs = 5000;

const char kConfiguration[]
    = R"({"version":3,"routes":[{"name":"talk","host":"a.example","path_prefix":"/talk/",)"
      R"("kind":"streaming","resumable":true,"timeout_ms":20000,"slo_ms":1700,"gap_aim_ms":200,)"
      R"("max_attempts":2,"priority":2,"service":"llm"}],"services":[{"name":"llm",)"
      R"("health_path":"/healthz","max_connections":360,)"
      R"("engine":{"slots":64,"stride":1,"kv_capacity":373934}}],)"
      R"("tenants":[{"name":"t1","api_keys":["key-one"]}],"limits":{"max_header_bytes":16384,)"
      R"("max_body_bytes":4194304,"header_timeout_ms":4000,"idle_timeout_ms":10000}})";

bool writeChunk(int socket, const std::string &bytes)
{
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return writeAll(socket, size + bytes + "\r\n");
}

// A client's connection for one stream. Returns the events as (number, version).
std::vector<std::pair<int, std::string>> stream(const Entry &entry, const std::string &id,
                                                const std::string &more, int leavesAfterMs, int &status)
{
    std::vector<std::pair<int, std::string>> events;
    const Answer answer = call(entry, "POST", "/talk/x", id, "key-one", 20000, more, "prompt", leavesAfterMs);
    status = answer.status;
    std::istringstream lines(answer.message.body);
    std::string line;
    int number = 0;
    while (std::getline(lines, line)) {
        if (line.rfind("id: ", 0) == 0)
            number = std::atoi(line.c_str() + 4);
        if (line.rfind("data: ", 0) == 0)
            events.emplace_back(number, line.substr(6));
    }
    return events;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc < 2)
        return 2;
    openRecord(argv[1]);
    Store store;
    std::vector<std::unique_ptr<Worker>> workers;
    for (int i = 1; i <= 4; ++i) {
        workers.push_back(std::make_unique<Worker>(store, "i-" + std::to_string(i), "llm", 0));
        Worker *worker = workers.back().get();
        worker->streamer = [worker](int socket, const Message &request) {
            const std::string version = worker->version;
            const int last = std::atoi(request.find("Last-Event-Id").c_str());
            if (!writeAll(socket,
                          "HTTP/1.1 200 OK\r\nAttempt-Id: " + request.find("Attempt-Id")
                              + "\r\nResponse-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\nContent-Type: "
                                "text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
                return false;
            for (int event = last + 1; event <= kEvents; ++event) {
                sleepMs(kEventMs);
                if (!writeChunk(socket, "id: " + std::to_string(event) + "\ndata: " + version + "\n\n"))
                    return false;
            }
            return writeAll(socket, "0\r\n\r\n");
        };
        worker->startBeating();
        sleepMs(200);
    }
    store.put("op", "config", kConfiguration);
    const std::uint16_t peerPort = freePort("127.0.0.11");
    const std::uint16_t forwardPort = freePort("127.0.0.11");
    std::vector<std::unique_ptr<Entry>> entries;
    for (int i = 1; i <= kEntries; ++i)
        entries.push_back(std::make_unique<Entry>(
            "front-" + std::to_string(i), "127.0.0." + std::to_string(10 + i), peerPort,
            forwardPort, store.port,
            std::vector<std::string>{"127.0.0.11:1", "127.0.0.12:1", "127.0.0.13:1"}));
    const auto awaitReady = [&] {
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
    };
    awaitReady();
    sleepMs(5000);
    Worker &reborn = *workers[0];
    const double cutAt = nowMs();
    if (isTroubled()) {
        reborn.loseStore();
        reborn.startAgain("2.0");
        record(reborn.id + " is partitioned from the store, crashes and starts again as 2.0", true);
    }
    // Three heartbeats later the store removes its entry.
    std::thread lapse([&] {
        if (!isTroubled())
            return;
        sleepUntilMs(cutAt + 3 * kBeatMs);
        store.remove("servers", reborn.id);
        record("the entry of " + reborn.id + " lapses", true);
        sleepUntilMs(cutAt + kCutMs);
        reborn.startBeating();
        record("the partition has ended, " + reborn.id + " writes its entry", true);
    });
    sleepMs(300);
    struct Talk
    {
        std::vector<std::pair<int, std::string>> before;
        std::vector<std::pair<int, std::string>> after;
        int status = 0;
    };
    std::vector<Talk> talks(kStreams);
    std::vector<std::thread> clients;
    for (int i = 0; i < kStreams; ++i) {
        clients.emplace_back([&, i] {
            int status = 0;
            const std::string part = std::to_string(1000 + i);
            talks[i].before = stream(*entries[i % kEntries], "first-" + std::to_string(i),
                                     "Token-Count: 700,200\r\nPrompt-Prefix: a1:100," + part
                                         + ":80," + part + "f:520\r\nModel: m\r\n",
                                     isTroubled() ? 20000 : 1200, status);
        });
        sleepMs(10);
    }
    sleepUntilMs(cutAt + 1900);
    if (isTroubled()) {
        record("all processes of the system are killed", true);
        for (const auto &entry : entries)
            entry->kill();
        sleepMs(700);
        for (const auto &entry : entries)
            entry->start();
    }
    for (std::thread &client : clients)
        client.join();
    clients.clear();
    awaitReady();
    record("all are ready", true);
    sleepUntilMs(cutAt + 3 * kBeatMs + 500);
    for (int i = 0; i < kStreams; ++i) {
        clients.emplace_back([&, i] {
            if (talks[i].before.empty())
                return;
            const std::string part = std::to_string(1000 + i);
            talks[i].after = stream(
                *entries[(i + 1) % kEntries], "again-" + std::to_string(i),
                "Token-Count: 700,200\r\nPrompt-Prefix: a1:100," + part + ":80," + part
                    + "f:520\r\nModel: m\r\nLast-Event-Id: "
                    + std::to_string(talks[i].before.back().first) + "\r\nResumes: first-"
                    + std::to_string(i) + "\r\n",
                1500, talks[i].status);
        });
    }
    for (std::thread &client : clients)
        client.join();
    lapse.join();
    int begun = 0;
    int begunAtReborn = 0;
    int wentOn = 0;
    int mixed = 0;
    for (int i = 0; i < kStreams; ++i) {
        const Talk &talk = talks[i];
        begun += !talk.before.empty();
        begunAtReborn += !talk.before.empty() && talk.before.front().second == "2.0";
        wentOn += !talk.after.empty();
        std::set<std::string> versions;
        for (const auto &[number, version] : talk.before)
            versions.insert(version);
        for (const auto &[number, version] : talk.after)
            versions.insert(version);
        record("stream " + std::to_string(i) + ": " + std::to_string(talk.before.size())
               + " events of version "
               + (talk.before.empty() ? std::string("-") : talk.before.front().second)
               + ", taken up with status " + std::to_string(talk.status) + ": "
               + std::to_string(talk.after.size()) + " events of version "
               + (talk.after.empty() ? std::string("-") : talk.after.front().second));
        if (versions.size() < 2)
            continue;
        ++mixed;
        record("BROKEN: stream " + std::to_string(i) + " holds events "
                   + std::to_string(talk.before.front().first) + " to "
                   + std::to_string(talk.before.back().first) + " of version "
                   + talk.before.front().second + " and goes on with "
                   + std::to_string(talk.after.front().first) + " of version "
                   + talk.after.front().second,
               mixed <= 3);
    }
    record("streams begun: " + std::to_string(begun) + ", at version 2.0: "
               + std::to_string(begunAtReborn) + ", went on: " + std::to_string(wentOn)
               + ", mixed: " + std::to_string(mixed),
           true);
    const bool isPlayed = begun > 40 && (begunAtReborn > 2 || !isTroubled());
    entries.clear();
    finish(!isPlayed ? 2 : mixed > 2 ? 1 : 0);
}
