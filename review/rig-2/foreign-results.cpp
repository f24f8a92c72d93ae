// A worker of a stage crashes and starts again under its id. A write of the process before reaches
// its entry late. Later the worker repeats one of its answers where the next one is expected.
#include "rig.h"

#include <cstdio>

#include <boost/json.hpp>

#include <arpa/inet.h>
#include <sys/socket.h>

using namespace Rig;

namespace json = boost::json;

namespace {

constexpr int kRounds = 6;
constexpr int kSoundWorkers = 3;
// So many that less than three of a hundred answers of the faulty worker are repeated.
constexpr int kClients = 6;
constexpr int kRequestsOfClient = 36;
constexpr double kBeatMs = 1200;

const char kConfiguration[]
    = R"({"version":3,"routes":[{"name":"staged","host":"a.example","path_prefix":"/staged/",)"
      R"("kind":"idempotent","timeout_ms":6000,"slo_ms":1100,"max_attempts":2,"priority":1,)"
      R"("service":"app","stages":[{"service":"stage","bytes":6000}]}],)"
      R"("services":[{"name":"app","health_path":"/healthz","max_connections":360},{"name":"stage",)"
      R"("health_path":"/healthz","max_connections":360,"pieces":{"slots":1,"queue":2,"batch":2,)"
      R"("call_ms":20,"item_ms":1,"room_mb":18,"handle_s":4,"link_mbps":10000}}],)"
      R"("tenants":[{"name":"t1","api_keys":["key-one"]}],"limits":{"max_header_bytes":16384,)"
      R"("max_body_bytes":4194304,"header_timeout_ms":4000,"idle_timeout_ms":10000}})";

std::string response(const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nServer-Load: 0,0,1\r\n"
           "Content-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// The caller's port, which tells a connection from a later one with the same descriptor.
std::uint16_t callerOf(int socket)
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    ::getpeername(socket, reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}

} // namespace

int main(int argc, char **argv)
{
    if (argc < 2)
        return 2;
    openRecord(argv[1]);
    // With a second argument the store takes no late write, for comparison.
    const bool isLate = argc == 2;
    Store store;
    Worker stage(store, "i-stage", "stage", 0);
    Worker model(store, "i-model", "app", 10);
    // The last answer on each connection, and whether the next call gets a copy of it first.
    std::mutex mutex;
    std::map<std::uint16_t, std::string> lastAnswer;
    std::atomic<bool> repeats{false};
    std::atomic<int> calls{0};
    std::atomic<int> handles{0};
    std::atomic<int> repeated{0};
    const auto serveStage = [&](Worker &worker, int socket, const Message &request) {
        if (request.target != "/v1/stage-run") {
            return writeAll(socket, response("{}"));
        }
        const bool isFaulty = &worker == &stage;
        calls += isFaulty ? 1 : 0;
        const int made = ++handles;
        json::array items;
        const json::value body = json::parse(request.body);
        for (const json::value &item : body.at("items").as_array()) {
            const std::string handle = "127.0.0.1:" + std::to_string(worker.port) + "/"
                + std::string(item.at("id").as_string()) + "."
                + std::to_string(item.at("piece").to_number<int>()) + "."
                + std::to_string(made);
            items.push_back(json::object{{"handle", handle}});
        }
        std::string earlier;
        {
            const std::lock_guard lock(mutex);
            if (isFaulty && repeats && lastAnswer.contains(callerOf(socket))) {
                earlier = lastAnswer[callerOf(socket)];
                repeats = false;
            }
        }
        if (!earlier.empty()) {
            ++repeated;
            record("i-stage repeats its last answer on this connection: "
                       + earlier.substr(earlier.find("\r\n\r\n") + 4),
                   true);
            if (!writeAll(socket, earlier))
                return false;
        }
        sleepMs(20);
        const std::string answer = response(json::serialize(json::object{{"items", items}}));
        {
            const std::lock_guard lock(mutex);
            if (isFaulty)
                lastAnswer[callerOf(socket)] = answer;
        }
        return writeAll(socket, answer);
    };
    const auto useAsStage = [&](Worker &worker) {
        worker.streamer = [&, at = &worker](int socket, const Message &request) {
            return serveStage(*at, socket, request);
        };
        worker.startBeating();
    };
    useAsStage(stage);
    std::vector<std::unique_ptr<Worker>> sound;
    for (int i = 1; i <= kSoundWorkers; ++i) {
        sound.push_back(std::make_unique<Worker>(store, "i-sound-" + std::to_string(i), "stage", 0));
        useAsStage(*sound.back());
    }
    model.startBeating();
    store.put("op", "config", kConfiguration);
    const std::uint16_t peerPort = freePort("127.0.0.11");
    const std::uint16_t forwardPort = freePort("127.0.0.11");
    Entry entry("front-1", "127.0.0.11", peerPort, forwardPort, store.port, {"127.0.0.11:1"});
    const double until = nowMs() + 10'000;
    while (!entry.isReady()) {
        if (nowMs() > until) {
            record("the entry did not become ready", true);
            finish(2);
        }
        sleepMs(20);
    }
    sleepMs(3000);
    std::atomic<int> number{0};
    std::atomic<int> served{0};
    const auto send = [&] {
        const std::string id = "request-" + std::to_string(++number);
        const Answer answer = call(entry, "GET", "/staged/x", id, "key-one", 6000,
                                   "Pieces: 2\r\nPiece-Key: key-" + id + "\r\n");
        served += answer.status == 200 ? 1 : 0;
        record("client " + id + " answered " + std::to_string(answer.status));
        return id;
    };
    const auto sendMany = [&](int count) {
        std::vector<std::thread> clients;
        for (int i = 0; i < kClients; ++i) {
            clients.emplace_back([&] {
                for (int k = 0; k < count; ++k)
                    send();
            });
        }
        for (std::thread &client : clients)
            client.join();
    };
    for (int round = 0; round < kRounds; ++round) {
        if (isTroubled()) {
            stage.startAgain("1.0");
            stage.beat();
            record("i-stage crashes and starts again", true);
        }
        // Less than the 6 s by which the store may take a write late.
        sleepMs(1700);
        sendMany(kRequestsOfClient);
        if (isTroubled()) {
            stage.loseStore();
            stage.beat();
            sleepMs(20);
            if (isLate)
                stage.writeLate();
            record("the store takes a write of the process before", true);
        }
        // Until the next heartbeat.
        sleepMs(kBeatMs + 100);
        if (isTroubled())
            stage.startBeating();
        sleepMs(kBeatMs + 200);
        repeats = isTroubled();
        sendMany(kRequestsOfClient / 4);
        repeats = false;
    }
    int foreign = 0;
    for (const Arrival &arrival : model.arrivals()) {
        const std::string id = arrival.request.find("Attempt-Id");
        const std::string inputs = arrival.request.find("Inputs");
        if (inputs.find("/" + id + ".0.") != std::string::npos
            && inputs.find("/" + id + ".1.") != std::string::npos)
            continue;
        ++foreign;
        record("BROKEN: " + id + " is run with the inputs " + inputs, true);
    }
    record("requests served: " + std::to_string(served) + " of " + std::to_string(number)
               + ", answers of i-stage: " + std::to_string(calls) + ", answers repeated: "
               + std::to_string(repeated) + ", requests run with results of another request: "
               + std::to_string(foreign),
           true);
    finish(served < 100 ? 2 : foreign > 0 ? 1 : 0);
}
