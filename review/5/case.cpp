// All processes of the system are killed at the same moment and start again. Clients then take
// their streams up again, while workers of the version that began them serve; none goes on.
#include "../standin/Streams.h"

using namespace Review;

namespace {

constexpr int kWorkersOfEach = 3;
constexpr int kStreams = 24;
constexpr int kMinTakenUp = 12;
constexpr int kEvents = 90;
constexpr int kEventIntervalMs = 150;
constexpr int kDeadlineMs = 20'000;
constexpr int kDownMs = 700;
// A process that has just started is in touch after `contact_ms`.
constexpr int kContactMs = 3000;
constexpr int kMarginMs = 500;
// Clients retry a few times.
constexpr int kTries = 3;
constexpr int kMaxRetryAfterMs = 1000;

// Reads the events of a stream up to its end, or for `forMs` at most.
StreamSeen readFor(int fd, const std::string &attempt, int forMs)
{
    Reader reader(fd);
    return readEvents(attempt, readResponse(reader, Clock::now() + Milliseconds(forMs)));
}

} // namespace

int main(int argumentCount, char **arguments)
{
    Deployment deployment(argumentCount, arguments);
    Record &record = deployment.record;
    const auto answer = [&](const WorkerCall &call) {
        const int first = firstEventOf(call.request);
        record.write(call.workerId + " (" + call.version + ") runs "
                     + call.request.header("Attempt-Id") + " from event " + std::to_string(first));
        if (!sendAll(call.fd, streamHead(call) + "Transfer-Encoding: chunked\r\n\r\n"))
            return false;
        for (int i = first; i <= kEvents; ++i) {
            // A worker drops a request when its connection closes.
            if (isPeerGone(call.fd) || !sendAll(call.fd, chunkOf(eventText(i, call.version)))) {
                ::close(call.fd);
                return false;
            }
            sleepFor(kEventIntervalMs);
        }
        return sendAll(call.fd, "0\r\n\r\n");
    };
    std::vector<std::unique_ptr<Worker>> workers;
    for (int i = 0; i < 2 * kWorkersOfEach; ++i) {
        workers.push_back(std::make_unique<Worker>(deployment.workerIp(),
                                                   "i-model-" + std::to_string(i + 1), "llm",
                                                   i < kWorkersOfEach ? "1.0" : "2.0", answer));
        workers.back()->slots = 64;
        deployment.list(*workers.back());
    }
    deployment.store.put(
        "op", "config",
        configJson(3,
                   routeJson("chat", "streaming",
                             R"("service":"llm","resumable":true,"sticky":true,"gap_aim_ms":200)",
                             kDeadlineMs, 1700, 2),
                   engineJson("llm")));
    deployment.startEntries(3);
    if (!deployment.waitUntilSettled(workers.size()))
        deployment.end(kNotRun);
    std::thread([&] {
        while (true) {
            sleepFor(1200);
            for (const auto &worker : workers)
                deployment.list(*worker);
        }
    }).detach();

    const auto frontOf
        = [&](int i) { return deployment.entries[i % deployment.entries.size()]->front(); };
    const auto open
        = [&](int i, const std::string &attempt, int deadlineMs, const std::string &more) {
              const int fd = connectTo(frontOf(i));
              if (fd >= 0)
                  sendAll(fd,
                          requestText("POST", "/chat/1", attempt, deadlineMs,
                                      "Model: m\r\nToken-Count: 500,300\r\nPrompt-Prefix: 5c1e"
                                          + std::to_string(1000 + i) + ":300," + attempt
                                          + ":200\r\n" + more,
                                      "prompt"));
              return fd;
          };

    // The streams begin, and break when all processes are killed. Without the disruption the
    // clients close their connections instead.
    std::vector<std::string> attempts(kStreams);
    std::vector<StreamSeen> begun(kStreams);
    std::vector<std::thread> threads;
    const long startedMs = record.nowMs();
    for (int i = 0; i < kStreams; ++i) {
        attempts[i] = deployment.nextAttempt();
        threads.emplace_back([&, i] {
            const int fd = open(i, attempts[i], kDeadlineMs, "");
            begun[i] = readFor(fd, attempts[i], hasTrouble() ? 8000 : 3000);
            ::close(fd);
            record.write("breaks: " + begun[i].text());
        });
    }
    sleepFor(3000);
    if (hasTrouble()) {
        record.write("all processes are killed");
        for (const auto &entry : deployment.entries)
            entry->signal(SIGKILL);
        for (const auto &entry : deployment.entries)
            entry->waitForEnd(2000);
        sleepFor(kDownMs);
        for (const auto &entry : deployment.entries)
            entry->start();
    }
    for (std::thread &thread : threads)
        thread.join();
    threads.clear();
    if (!deployment.waitUntilSettled(workers.size()))
        deployment.end(kNotRun);
    record.write("all processes are ready");
    sleepFor(kContactMs + kMarginMs);

    std::atomic<int> takenUp{0};
    std::atomic<int> wentOn{0};
    std::atomic<int> newBegan{0};
    for (int i = 0; i < kStreams; ++i) {
        if (begun[i].events.empty() || begun[i].versions.size() != 1)
            continue;
        ++takenUp;
        threads.emplace_back([&, i] {
            const std::string more = "Resumes: " + attempts[i]
                + "\r\nLast-Event-Id: " + std::to_string(begun[i].events.back()) + "\r\n";
            bool goesOn = false;
            for (int j = 0; j < kTries && !goesOn; ++j) {
                const std::string attempt = deployment.nextAttempt();
                const int left = kDeadlineMs - static_cast<int>(record.nowMs() - startedMs);
                const int fd = open(i + j, attempt, left, more);
                Reader reader(fd);
                const Response response = readResponse(reader, Clock::now() + Milliseconds(1500));
                ::close(fd);
                const StreamSeen seen = readEvents(attempt, response);
                goesOn = !seen.events.empty() && seen.events.front() == begun[i].events.back() + 1
                    && seen.versions == begun[i].versions;
                record.write("take-up of " + attempts[i] + " as " + seen.text());
                const double retryAfter = std::atof(response.header("Retry-After").c_str());
                sleepFor(std::min(static_cast<int>(retryAfter * 1000), kMaxRetryAfterMs));
            }
            wentOn += goesOn ? 1 : 0;
        });
        threads.emplace_back([&, i] {
            const std::string attempt = deployment.nextAttempt();
            const int fd = open(kStreams + i, attempt, kDeadlineMs, "");
            const StreamSeen seen = readFor(fd, attempt, 1500);
            ::close(fd);
            newBegan += seen.events.empty() ? 0 : 1;
        });
    }
    for (std::thread &thread : threads)
        thread.join();
    record.write("of " + std::to_string(takenUp) + " streams that were taken up again "
                 + std::to_string(wentOn) + " went on; of as many new ones "
                 + std::to_string(newBegan) + " began");
    if (takenUp < kMinTakenUp || newBegan < kMinTakenUp)
        deployment.end(kNotRun);
    deployment.end(2 * wentOn < newBegan ? kBroken : kHeld);
}
