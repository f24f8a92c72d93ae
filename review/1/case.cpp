// Callers leave while their requests wait for a worker that has named a `Server-Limit`.
//
// Meanwhile other callers wait on kept connections for the answers of a sound worker. The rule LOST
// forbids that more than three of these connections are closed without an answer.
#include "../standin/Platform.h"

using namespace Review;

namespace {

constexpr int kBystanders = 8;
constexpr int kMaxLost = 3;
constexpr int kSlowWorkMs = 1200;
constexpr int kDeadlineMs = 1500;
// The larger of the sites' doses of `give_up`: a share of 0.3 of the callers leaves.
constexpr int kLimitedCallers = 10;
constexpr int kLeavers = 3;
constexpr int kLeaveAfterMs = 75;

// What happened to the request of a bystander.
struct Outcome
{
    bool isAnswered = false;
    bool wasClosed = false;
};

// Sends one request over the connection and waits for its answer.
Response callOn(int fd, const std::string &target, const std::string &attempt, int deadlineMs)
{
    Reader reader(fd);
    sendAll(fd, requestText("GET", target, attempt, deadlineMs));
    return readResponse(reader, Clock::now() + Milliseconds(deadlineMs + 500));
}

} // namespace

int main(int argumentCount, char **arguments)
{
    Deployment deployment(argumentCount, arguments);
    Record &record = deployment.record;
    std::atomic<int> slowRuns{0};
    // Handles reads within its limit; more than that it would not have to accept.
    Worker *limitedWorker = nullptr;
    Worker limited(
        deployment.workerIp(), "i-limited", "records", "1.0", [&](const WorkerCall &call) {
            record.write("i-limited runs " + call.request.header("Attempt-Id"));
            sleepFor(15);
            return sendAll(call.fd,
                           fullResponse(call, 200, "record", limitedWorker->limitHeader()));
        });
    limitedWorker = &limited;
    limited.statedLimit = 2;
    Worker sound(deployment.workerIp(), "i-sound", "reports", "1.0", [&](const WorkerCall &call) {
        const bool isSlow = call.request.target.find("/slow") != std::string::npos;
        record.write("i-sound runs " + call.request.header("Attempt-Id"));
        slowRuns += isSlow ? 1 : 0;
        sleepFor(isSlow ? kSlowWorkMs : 15);
        return sendAll(call.fd, fullResponse(call, 200, "report"));
    });
    sound.slots = 16;
    deployment.store.put(
        "op", "config",
        configJson(
            3,
            routeJson("records", "idempotent", R"("service":"records")", 1500, 150, 2) + ","
                + routeJson("reports", "idempotent", R"("service":"reports")", 4000, 1500, 1),
            R"({"name":"records"},{"name":"reports"})"));
    deployment.list(limited);
    deployment.list(sound);
    deployment.startEntries(1);
    Entry &entry = *deployment.entries.front();
    if (!deployment.waitUntilSettled(2))
        deployment.end(kNotRun);

    // One answer of the worker makes its limit known.
    const int first = connectTo(entry.front());
    const Response known = callOn(first, "/records/0", deployment.nextAttempt(), kDeadlineMs);
    ::close(first);
    record.write("first answer of the limited worker: " + std::to_string(known.status));
    if (known.status != 200)
        deployment.end(kNotRun);

    // Kept connections: each has served a request before.
    std::vector<int> kept;
    for (int i = 0; i < kBystanders; ++i) {
        const int fd = connectTo(entry.front());
        const Response warm = callOn(fd, "/reports/quick", deployment.nextAttempt(), kDeadlineMs);
        if (warm.status != 200)
            deployment.end(kNotRun);
        kept.push_back(fd);
    }
    std::vector<Outcome> outcomes(kBystanders);
    std::vector<std::thread> threads;
    for (int i = 0; i < kBystanders; ++i) {
        threads.emplace_back([&, i] {
            const std::string attempt = deployment.nextAttempt();
            record.write("bystander " + attempt + " sends over a kept connection");
            const Response response = callOn(kept[i], "/reports/slow", attempt, 4000);
            outcomes[i].isAnswered = response.isComplete;
            outcomes[i].wasClosed = !response.isComplete && !response.hasTimedOut;
            record.write("bystander " + attempt + " gets "
                         + (response.isComplete         ? std::to_string(response.status)
                                : outcomes[i].wasClosed ? "a closed connection"
                                                        : "nothing"));
        });
    }
    sleepFor(300);
    for (int i = 0; i < kLimitedCallers; ++i) {
        threads.emplace_back([&, i] {
            const std::string attempt = deployment.nextAttempt();
            const int fd = connectTo(entry.front());
            if (fd < 0)
                return;
            record.write("caller " + attempt + " sends to the limited service");
            if (i < kLeavers && hasTrouble()) {
                sendAll(fd, requestText("GET", "/records/1", attempt, kDeadlineMs));
                sleepFor(kLeaveAfterMs);
                ::close(fd);
                record.write("caller " + attempt + " leaves");
                return;
            }
            const Response response = callOn(fd, "/records/1", attempt, kDeadlineMs);
            record.write("caller " + attempt + " gets " + std::to_string(response.status));
            ::close(fd);
        });
        sleepFor(5);
    }
    for (std::thread &thread : threads)
        thread.join();

    int lost = 0;
    for (const Outcome &outcome : outcomes)
        lost += outcome.wasClosed ? 1 : 0;
    record.write("the process " + entry.ending());
    record.write(std::to_string(slowRuns) + " requests of bystanders ran, " + std::to_string(lost)
                 + " of their connections were closed without an answer");
    const std::string log = entry.log();
    record.write("end of its output: "
                 + log.substr(log.size() - std::min<std::size_t>(log.size(), 400)));
    if (slowRuns < kBystanders)
        deployment.end(kNotRun);
    deployment.end(lost > kMaxLost ? kBroken : kHeld);
}
