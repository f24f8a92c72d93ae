// Stand-ins for the platform's store, for workers and for clients, and the processes of the system
// that a case starts.
#pragma once

#include "Net.h"

#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <fstream>
#include <functional>
#include <iostream>
#include <memory>
#include <random>
#include <sstream>

#include <sys/resource.h>
#include <sys/stat.h>
#include <sys/wait.h>

namespace Review {

// Exit codes of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

inline bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

// Writes what was sent, answered and run to the file named by the first argument of the case.
class Record
{
public:
    explicit Record(const std::string &path) : out(path), startedAt(Clock::now())
    {
    }

    void write(const std::string &line)
    {
        const std::lock_guard lock(this->mutex);
        this->out << this->nowMs() << " ms  " << line << std::endl;
    }

    long nowMs() const
    {
        return std::chrono::duration_cast<Milliseconds>(Clock::now() - this->startedAt).count();
    }

private:
    std::ofstream out;
    Clock::time_point startedAt;
    std::mutex mutex;
};

inline std::string encodeBase64(const std::string &bytes)
{
    static const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j)
            group = group << 8
                | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0u);
        for (std::size_t j = 0; j < 4; ++j)
            text += i + j > bytes.size() ? '=' : digits[group >> (18 - 6 * j) & 63];
    }
    return text;
}

inline std::string queryValue(const std::string &target, const std::string &name)
{
    std::size_t at = target.find('?');
    while (at != std::string::npos) {
        const std::size_t end = target.find('&', at + 1);
        const std::string pair
            = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
        if (pair.rfind(name + "=", 0) == 0)
            return pair.substr(name.size() + 1);
        at = end;
    }
    return "";
}

// Returns the texts of all fields of this name in a JSON document that has no escapes in them.
inline std::vector<std::string> jsonTexts(const std::string &json, const std::string &name)
{
    std::vector<std::string> texts;
    const std::string field = "\"" + name + "\":\"";
    for (std::size_t at = json.find(field); at != std::string::npos; at = json.find(field, at)) {
        at += field.size();
        texts.push_back(json.substr(at, json.find('"', at) - at));
    }
    return texts;
}

inline std::string jsonResponse(int status, const std::string &body, const std::string &more = "")
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\nContent-Type: application/json\r\n"
        + more + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// What becomes of a call to the store.
enum class CallOutcome {
    Answered,
    // It may be carried out, and its answer does not come.
    Silent,
    // Its connection is reset.
    Reset,
    // It is refused, and nothing is done.
    Busy,
    TooMany,
    // It is carried out, and neither its answer nor a later one on its connection comes.
    AnswerLost,
    // The same, carried out some seconds later.
    DoneLate,
    // Its answer takes longer.
    Slow,
};

// The platform's store: rows with versions and a feed of their changes.
class Store
{
public:
    explicit Store(const std::string &ip) : listener({ip, 0}, [this](int fd) { this->serve(fd); })
    {
    }

    Address address() const
    {
        return this->listener.address;
    }

    // `value` is encoded here.
    void put(const std::string &table, const std::string &key, const std::string &value)
    {
        this->change(table, key, encodeBase64(value), false);
    }

    void remove(const std::string &table, const std::string &key)
    {
        this->change(table, key, "", true);
    }

    // Calls that come from this address are not answered, as in a partition; empty for
    // none, "*" for calls of all.
    void cutOff(const std::string &ip)
    {
        const std::lock_guard lock(this->mutex);
        this->cutIp = ip;
    }

    // A call, by the address of the caller, its tables and whether it writes.
    struct CallTraits
    {
        const std::string &ip;
        const std::vector<std::string> &tables;
        bool isWrite = false;
        // Whether it has been carried out, so that only its answer is left to lose.
        bool isDone = false;
    };

    using OutcomeOf = std::function<CallOutcome(const CallTraits &call)>;
    void setOutcomes(OutcomeOf decision, int slowAnswerMs = 0)
    {
        const std::lock_guard lock(this->mutex);
        this->decideOutcome = std::move(decision);
        this->slowAnswerMs = slowAnswerMs;
    }

    // From now on, until `dropHistory`, changes are made and no watch hears of them.
    void muteFeeds()
    {
        const std::lock_guard lock(this->mutex);
        this->areFeedsMute = true;
    }

    // Forgets all changes up to now, so that watches from before are told to read again.
    void dropHistory()
    {
        const std::lock_guard lock(this->mutex);
        this->areFeedsMute = false;
        this->history.clear();
        this->droppedVersion = this->version;
        this->changed.notify_all();
    }

private:
    static constexpr int kAnswerMs = 4;
    // Body of an answer that says that the changes since are forgotten.
    static constexpr const char *kHistoryGone = "{\"gone\":true}";

    struct Row
    {
        std::string table;
        std::string key;
        std::string value;
        std::uint64_t version = 0;
        bool isRemoved = false;
    };

    void change(const std::string &table, const std::string &key, const std::string &value,
                bool isRemoved)
    {
        const std::lock_guard lock(this->mutex);
        const Row row{table, key, value, ++this->version, isRemoved};
        if (isRemoved)
            this->rows.erase({table, key});
        else
            this->rows[{table, key}] = row;
        this->history.push_back(row);
        this->changed.notify_all();
    }

    static std::string toJson(const Row &row)
    {
        return R"({"table":")" + row.table + R"(","part":"","key":")" + row.key + R"(","ver":)"
            + std::to_string(row.version)
            + (row.isRemoved ? R"(,"removed":true})" : R"(,"value":")" + row.value + "\"}");
    }

    std::string bodyOf(const std::vector<Row> &selected) const
    {
        std::string list;
        for (const Row &row : selected)
            list += (list.empty() ? "" : ",") + toJson(row);
        const auto now = Clock::now().time_since_epoch();
        return R"({"rows":[)" + list + R"(],"truncated":false,"ver":)"
            + std::to_string(this->version) + R"(,"now_ms":)"
            + std::to_string(std::chrono::duration_cast<Milliseconds>(now).count()) + "}";
    }

    std::string getRows(const Request &request)
    {
        const std::lock_guard lock(this->mutex);
        std::vector<Row> selected;
        for (const auto &[name, row] : this->rows) {
            if (name.first == queryValue(request.target, "table"))
                selected.push_back(row);
        }
        return this->bodyOf(selected);
    }

    std::string feed(const Request &request)
    {
        const std::string table = queryValue(request.target, "table");
        const std::uint64_t after
            = std::strtoull(queryValue(request.target, "after").c_str(), nullptr, 10);
        const int waitMs = std::atoi(queryValue(request.target, "wait_ms").c_str());
        const auto until = Clock::now() + Milliseconds(waitMs);
        std::unique_lock lock(this->mutex);
        std::vector<Row> selected;
        while (true) {
            if (after < this->droppedVersion)
                return kHistoryGone;
            for (const Row &row : this->history) {
                if (!this->areFeedsMute && row.table == table && row.version > after)
                    selected.push_back(row);
            }
            if (!selected.empty()
                || this->changed.wait_until(lock, until) == std::cv_status::timeout)
                return this->bodyOf(selected);
        }
    }

    std::string transact(const Request &request)
    {
        const std::size_t puts = request.body.find("\"puts\"");
        const std::size_t removals = request.body.find("\"remove\"");
        const std::string putText = request.body.substr(puts, removals - puts);
        const std::string removeText = request.body.substr(removals);
        const auto tables = jsonTexts(putText, "table");
        const auto keys = jsonTexts(putText, "key");
        const auto values = jsonTexts(putText, "value");
        for (std::size_t i = 0; i < tables.size(); ++i)
            this->change(tables[i], keys[i], values[i], false);
        const auto removedTables = jsonTexts(removeText, "table");
        const auto removedKeys = jsonTexts(removeText, "key");
        for (std::size_t i = 0; i < removedTables.size(); ++i)
            this->change(removedTables[i], removedKeys[i], "", true);
        const std::lock_guard lock(this->mutex);
        return this->bodyOf({});
    }

    void serve(int fd)
    {
        sockaddr_in peer{};
        socklen_t size = sizeof(peer);
        ::getpeername(fd, reinterpret_cast<sockaddr *>(&peer), &size);
        char ip[INET_ADDRSTRLEN];
        ::inet_ntop(AF_INET, &peer.sin_addr, ip, sizeof(ip));
        Reader reader(fd);
        bool isAnswerLost = false;
        while (true) {
            Request request;
            if (!readRequest(reader, request, Clock::now() + Milliseconds(120'000)))
                return;
            const CallOutcome outcome = this->outcomeOf(ip, request);
            if (outcome == CallOutcome::DoneLate) {
                isAnswerLost = true;
                this->transactLate(request);
                continue;
            }
            isAnswerLost = isAnswerLost || outcome == CallOutcome::AnswerLost;
            const bool isRefused = outcome == CallOutcome::Busy || outcome == CallOutcome::TooMany;
            if (isAnswerLost && isRefused)
                continue;
            if (isRefused) {
                if (!sendAll(fd,
                             jsonResponse(outcome == CallOutcome::Busy ? 503 : 429, "{}",
                                          "Store-Era: 1\r\n")))
                    return;
                continue;
            }
            std::string body;
            if (outcome == CallOutcome::Reset) {
                const linger reset{1, 0};
                ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
                return;
            }
            if (request.target.rfind("/v1/rows-get?", 0) == 0)
                body = this->getRows(request);
            else if (request.target.rfind("/v1/rows-feed?", 0) == 0)
                body = this->feed(request);
            else if (request.target == "/v1/rows-tx")
                body = this->transact(request);
            const bool isGone = body == kHistoryGone;
            const int status = isGone ? 410 : body.empty() ? 404 : 200;
            if (this->isCutOff(ip) || outcome == CallOutcome::Silent || isAnswerLost
                || this->outcomeOf(ip, request, true) == CallOutcome::Silent)
                continue;
            sleepFor(outcome == CallOutcome::Slow ? this->slowAnswerMs.load() : kAnswerMs);
            if (!sendAll(fd, jsonResponse(status, body.empty() ? "{}" : body, "Store-Era: 1\r\n")))
                return;
        }
    }

    // Carries a transaction out after one to six seconds.
    void transactLate(const Request &request)
    {
        constexpr int kLeastDelayMs = 1000;
        constexpr int kDelaySpreadMs = 5000;
        const std::size_t draw = std::hash<std::string>()(request.body);
        const int delayMs = kLeastDelayMs + static_cast<int>(draw % kDelaySpreadMs);
        std::thread([this, request, delayMs] {
            sleepFor(delayMs);
            this->transact(request);
        }).detach();
    }

    CallOutcome outcomeOf(const std::string &ip, const Request &request, bool isDone = false)
    {
        const std::lock_guard lock(this->mutex);
        if (!this->decideOutcome)
            return CallOutcome::Answered;
        std::vector<std::string> tables = jsonTexts(request.body, "table");
        if (tables.empty())
            tables.push_back(queryValue(request.target, "table"));
        return this->decideOutcome({ip, tables, request.target == "/v1/rows-tx", isDone});
    }

    bool isCutOff(const std::string &ip)
    {
        const std::lock_guard lock(this->mutex);
        return this->cutIp == ip || this->cutIp == "*";
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::pair<std::string, std::string>, Row> rows;
    std::deque<Row> history;
    std::uint64_t version = 1;
    std::string cutIp;
    OutcomeOf decideOutcome;
    std::atomic<int> slowAnswerMs{0};
    bool areFeedsMute = false;
    // Changes up to this version are forgotten.
    std::uint64_t droppedVersion = 0;
    Listener listener;
};

// A connection of a worker whose request is being answered.
struct WorkerCall
{
    int fd;
    const Request &request;
    std::string workerId;
    std::string version;
    // What the worker keeps for this connection.
    std::string &kept;
};

// A worker. `answer` writes the response to a request and returns whether the connection stays
// open.
class Worker
{
public:
    using Answer = std::function<bool(const WorkerCall &)>;

    // A port of 0 lets the system choose one; `born` is the start time in Unix milliseconds.
    Worker(const std::string &ip, std::string id, std::string service, std::string version,
           Answer answer, int port = 0, std::uint64_t born = 1'700'000'000'000)
        : id(std::move(id)), service(std::move(service)), version(std::move(version)), born(born),
          answer(std::move(answer)), listener({ip, port}, [this](int fd) { this->serve(fd); })
    {
    }

    // The worker's row in the store.
    std::string entry(const std::string &state = "ready")
    {
        const std::lock_guard lock(this->mutex);
        return R"({"service":")" + this->service + R"(","address":")"
            + this->listener.address.text() + R"(","zone":"zone-a","version":")" + this->version
            + R"(","slots":)" + std::to_string(this->slots) + R"(,"state":")" + state
            + R"(","cold_left_ms":0,"sequence":)" + std::to_string(++this->sequence) + R"(,"born":)"
            + std::to_string(this->born) + "}";
    }

    bool isListening() const
    {
        return this->listener.isListening();
    }

    // The process ends.
    void crash()
    {
        this->listener.stop();
    }

    // Starts again under the same ID and address, with another software version.
    bool startAgain(const std::string &newVersion)
    {
        {
            const std::lock_guard lock(this->mutex);
            this->version = newVersion;
            this->born += 1000;
            this->sequence = 0;
        }
        this->listener.start();
        return this->listener.isListening();
    }

    // Limits the rate of requests and says so in all answers; zero for no limit.
    std::atomic<double> statedLimit{0};
    int slots = 8;
    std::string id;
    std::string service;

private:
    void serve(int fd)
    {
        Reader reader(fd);
        std::string kept;
        while (true) {
            Request request;
            if (!readRequest(reader, request, Clock::now() + Milliseconds(120'000)))
                return;
            std::string ownVersion;
            std::uint64_t ownBorn = 0;
            {
                const std::lock_guard lock(this->mutex);
                ownVersion = this->version;
                ownBorn = this->born;
            }
            if (request.target == "/v1/report") {
                const std::string body
                    = R"({"stage":"both","models":[],"busy":false,"sequence":1,)"
                      R"("waiting":0,"running":0,"kv_used":0,"kv_total":90000,"handles":0,"born":)"
                    + std::to_string(ownBorn) + "}";
                if (!sendAll(fd, jsonResponse(200, body, this->limitHeader())))
                    return;
                continue;
            }
            // Another worker may have had this address before.
            const std::string expected = request.header("Expect-Instance");
            if (!expected.empty() && expected != this->id) {
                const std::string head
                    = "Not-Executed: 1\r\nAttempt-Id: " + request.header("Attempt-Id") + "\r\n";
                if (!sendAll(fd, jsonResponse(421, "{}", head)))
                    return;
                continue;
            }
            if (!this->answer({fd, request, this->id, ownVersion, kept})) {
                this->listener.forget(fd);
                return;
            }
        }
    }

public:
    std::string limitHeader() const
    {
        const double limit = this->statedLimit;
        if (limit <= 0)
            return "";
        std::ostringstream text;
        text << "Server-Limit: " << limit << "\r\n";
        return text.str();
    }

private:
    std::string version;
    std::uint64_t born;
    std::uint64_t sequence = 0;
    Answer answer;
    std::mutex mutex;
    Listener listener;
};

inline std::string sealOf(const WorkerCall &call)
{
    return "seal-" + call.workerId + "-" + call.request.header("Attempt-Id");
}

// Head of a worker's response, up to the fields that frame the body.
inline std::string responseHead(const WorkerCall &call, int status, const std::string &more = "")
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\nAttempt-Id: "
        + call.request.header("Attempt-Id") + "\r\nResponse-Seal: " + sealOf(call) + "\r\n" + more;
}

inline std::string fullResponse(const WorkerCall &call, int status, const std::string &body,
                                const std::string &more = "")
{
    return responseHead(call, status, more) + "Content-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

inline std::string chunkOf(const std::string &bytes)
{
    char size[32];
    std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

// How the processes of the system are started.
struct Launch
{
    // Path of the program under test, absolute or from the root of the repository.
    std::string program = "target/tanagerbay";
    // Most open files of a process; zero leaves the limit of the machine.
    int openFiles = 0;
    // Variables that the process gets besides, as NAME=VALUE.
    std::vector<std::string> environment = {};
    // If set, returns the program of each start instead.
    std::function<std::string()> programOfStart = {};
};

// A process of the system, started with the command of the deploy file.
class Entry
{
public:
    // Ports of the system; every process has an address of its own.
    struct Ports
    {
        int front = 0;
        int readiness = 0;
        int control = 0;
        int directory = 0;
        int peers = 0;
        int forward = 0;

        static constexpr std::size_t kCount = 6;

        void assign(const std::vector<int> &numbers)
        {
            std::size_t next = 0;
            for (int *port : {&this->front, &this->readiness, &this->control, &this->directory,
                              &this->peers, &this->forward})
                *port = numbers.at(next++);
        }
    };

    Entry(const std::string &root, const std::string &folder, const std::string &name,
          const std::string &ip, const std::string &zone, const Ports &ports, const Address &store,
          const std::vector<std::string> &seeds, Launch launch)
        : root(root), folder(folder), name(name), ip(ip), ports(ports), launch(std::move(launch))
    {
        std::string seedList;
        for (const std::string &seed : seeds)
            seedList += (seedList.empty() ? "\"" : ",\"") + seed + ":"
                + std::to_string(ports.control) + "\"";
        const auto at = [&](int port) { return "\"" + ip + ":" + std::to_string(port) + "\""; };
        // The form of platform/settings.json.template, with the bounds of the small sites.
        std::ofstream(this->settingsPath())
            << R"({"dialect":"platform","instance":")" << name << R"(","failureDomain":")" << zone
            << R"(","listen":{"callers":)" << at(ports.front) << R"(,"readiness":)"
            << at(ports.readiness) << R"(,"directory":)" << at(ports.directory) << R"(,"control":)"
            << at(ports.control) << R"(},"peers":{"port":)" << ports.peers << R"(,"forwardPort":)"
            << ports.forward << R"(,"connectFrom":")" << ip << R"(","seeds":[)" << seedList
            << R"(]},"store":")" << store.text() << R"(","cores":0.25,"linkMbps":1000,)"
            << R"("bounds":{"extraSendRatio":0.2,"extraSendSlack":54,"extraSendWindowSeconds":10,)"
            << R"("leavingDelayMs":2000,"catalogDelayMs":2000,"mostDirectoryTtlSeconds":5,)"
            << R"("graceSeconds":8}})";
        this->start();
    }

    ~Entry()
    {
        if (this->isRunning())
            this->signal(SIGKILL);
        this->waitForEnd(5000);
    }
    Entry(const Entry &) = delete;
    Entry &operator=(const Entry &) = delete;

    void start()
    {
        const std::string variable = "TANAGERBAY_BOOT=" + this->settingsPath();
        const std::string log = this->logPath();
        const std::string path
            = this->launch.programOfStart ? this->launch.programOfStart() : this->launch.program;
        const ::pid_t child = ::fork();
        if (child != 0) {
            this->pid = child;
            this->hasEnded = child < 0;
            return;
        }
        if (::chdir(this->root.c_str()) != 0)
            ::_exit(127);
        const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(out, STDOUT_FILENO);
        ::dup2(out, STDERR_FILENO);
        ::putenv(const_cast<char *>(variable.c_str()));
        for (const std::string &each : this->launch.environment)
            ::putenv(const_cast<char *>(each.c_str()));
        if (this->launch.openFiles > 0) {
            const auto most = static_cast<rlim_t>(this->launch.openFiles);
            const rlimit limit{most, most};
            ::setrlimit(RLIMIT_NOFILE, &limit);
        }
        const char *program = path.c_str();
        ::execl(program, program, "serve", "--settings-variable", "TANAGERBAY_BOOT",
                static_cast<char *>(nullptr));
        ::_exit(127);
    }

    // Does nothing once the process has ended: its number may be another one's.
    void signal(int number) const
    {
        if (this->pid > 0 && !this->hasEnded)
            ::kill(this->pid, number);
    }

    bool isRunning()
    {
        int ended = 0;
        if (!this->hasEnded && ::waitpid(this->pid, &ended, WNOHANG) == this->pid) {
            this->status = ended;
            this->hasEnded = true;
        }
        return !this->hasEnded;
    }

    bool waitForEnd(int timeoutMs)
    {
        for (int waited = 0; this->isRunning() && waited < timeoutMs; waited += 10)
            sleepFor(10);
        return !this->isRunning();
    }

    // How the process ended, in words.
    std::string ending()
    {
        if (this->isRunning())
            return "still runs";
        if (WIFSIGNALED(this->status))
            return "ended by signal " + std::to_string(WTERMSIG(this->status));
        return "ended with code " + std::to_string(WEXITSTATUS(this->status));
    }

    Address front() const
    {
        return {this->ip, this->ports.front};
    }

    bool isReady()
    {
        return this->get({this->ip, this->ports.readiness}, "/v1/ready").status == 200;
    }

    // The state that the process tells at its control address.
    std::string state()
    {
        return this->get({this->ip, this->ports.control}, "/v1/state").body;
    }

    // Waits until the process is ready and knows this number of workers and processes.
    bool waitUntilSettled(std::size_t workers, std::size_t instances, int timeoutMs = 10'000)
    {
        for (int waited = 0; waited < timeoutMs && this->isRunning(); waited += 50) {
            const std::string known = this->isReady() ? this->state() : "";
            if (count(known, R"("state":"live","inFlight")") == workers
                && count(known, R"("suspect":false)") >= instances)
                return true;
            sleepFor(50);
        }
        return false;
    }

    std::string log() const
    {
        std::ostringstream text;
        text << std::ifstream(this->logPath()).rdbuf();
        return text.str();
    }

    const std::string root;
    const std::string folder;
    const std::string name;
    const std::string ip;
    const Ports ports;
    const Launch launch;

private:
    static std::size_t count(const std::string &text, const std::string &pattern)
    {
        std::size_t found = 0;
        for (std::size_t at = text.find(pattern); at != std::string::npos;
             at = text.find(pattern, at + 1))
            ++found;
        return found;
    }

    Response get(const Address &address, const std::string &target)
    {
        const int fd = connectTo(address);
        if (fd < 0)
            return {};
        Reader reader(fd);
        sendAll(fd, "GET " + target + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        const Response response = readResponse(reader, Clock::now() + Milliseconds(2000));
        ::close(fd);
        return response;
    }

    std::string settingsPath() const
    {
        return this->folder + "/" + this->name + ".json";
    }
    std::string logPath() const
    {
        return this->folder + "/" + this->name + ".log";
    }

    std::atomic<::pid_t> pid{-1};
    std::atomic<bool> hasEnded{false};
    // As `waitpid` tells it, once the process has ended.
    int status = 0;
};

// Below the ports that the system gives to outgoing connections.
constexpr int kFirstPort = 15'000;
constexpr int kLastPort = 30'000;

// Finds so many different ports in a range that are free at all of these addresses; fewer if they
// are not found in a bounded number of tries.
inline std::vector<int> freePorts(const std::vector<std::string> &ips, std::size_t count,
                                  int first = kFirstPort, int last = kLastPort)
{
    static std::mt19937 random{std::random_device{}()};
    constexpr int kMaxTries = 10'000;
    std::set<int> found;
    for (int tries = 0; found.size() < count && tries < kMaxTries; ++tries) {
        const int port = std::uniform_int_distribution<int>(first, last)(random);
        bool isFree = true;
        for (const std::string &ip : ips) {
            Address address{ip, port};
            const int fd = listenAt(address);
            isFree = isFree && fd >= 0;
            if (fd >= 0)
                ::close(fd);
        }
        if (isFree)
            found.insert(port);
    }
    return {found.begin(), found.end()};
}

inline int freePort(const std::vector<std::string> &ips)
{
    return freePorts(ips, 1).front();
}

// The addresses, the store and the processes of one case.
struct Deployment
{
    // `arguments`: path of the record, root of the repository, temporary folder.
    Deployment(int argumentCount, char **arguments)
        : record(argumentCount > 1 ? arguments[1] : "record.txt"),
          root(argumentCount > 2 ? arguments[2] : "."),
          folder(argumentCount > 3 ? arguments[3] : "/tmp"),
          prefix("127." + std::to_string(20 + ::getpid() % 200) + "."
                 + std::to_string(1 + ::getpid() / 200 % 250) + "."),
          store(prefix + "250")
    {
        ::signal(SIGPIPE, SIG_IGN);
        this->record.write(std::string("disruption: ") + (hasTrouble() ? "yes" : "no"));
    }

    std::string workerIp() const
    {
        return this->prefix + "240";
    }

    void startEntries(int count)
    {
        std::vector<std::string> ips;
        for (int i = 1; i <= count; ++i)
            ips.push_back(this->prefix + std::to_string(i));
        Entry::Ports ports;
        ports.assign(freePorts(ips, Entry::Ports::kCount));
        const std::vector<std::string> seeds(ips.begin(), ips.begin() + std::min(count, 3));
        for (int i = 0; i < count; ++i) {
            const std::string zone = std::string("zone-") + static_cast<char>('a' + i % 3);
            this->entries.push_back(std::make_unique<Entry>(
                this->root, this->folder, "front-" + std::to_string(i + 1), ips[i], zone, ports,
                this->store.address(), seeds, this->launch));
        }
    }

    // Lists the worker in the store.
    void list(Worker &worker, const std::string &state = "ready")
    {
        this->store.put("servers", worker.id, worker.entry(state));
    }

    bool waitUntilSettled(std::size_t workers)
    {
        for (const auto &entry : this->entries) {
            if (!entry->waitUntilSettled(workers, this->entries.size())) {
                this->record.write(entry->name + " did not become ready: " + entry->ending());
                return false;
            }
        }
        return true;
    }

    // Ends the processes of the system and then the case, with its threads.
    [[noreturn]] void end(int code)
    {
        this->entries.clear();
        std::_Exit(code);
    }

    std::string nextAttempt()
    {
        char text[32];
        std::snprintf(text, sizeof(text), "%08x%08x", static_cast<unsigned>(::getpid()),
                      static_cast<unsigned>(++this->attempts));
        return text;
    }

    Record record;
    std::string root;
    std::string folder;
    std::string prefix;
    Launch launch;
    Store store;
    std::vector<std::unique_ptr<Entry>> entries;
    std::atomic<unsigned> attempts{0};
};

inline std::string requestText(const std::string &method, const std::string &target,
                               const std::string &attempt, int deadlineMs,
                               const std::string &more = "", const std::string &body = "")
{
    std::string text = method + " " + target + " HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: "
        + attempt + "\r\nDeadline-Ms: " + std::to_string(deadlineMs)
        + "\r\nKey: 9dnn2ctnfzs989anu6ws\r\n" + more;
    if (!body.empty())
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

// A route of the configuration. `more` holds its service and further fields.
inline std::string routeJson(const std::string &name, const std::string &kind,
                             const std::string &more, int timeoutMs, int objectiveMs,
                             int maxAttempts)
{
    return R"({"name":")" + name + R"(","host":"a.example","path_prefix":"/)" + name
        + R"(/","kind":")" + kind + R"(","timeout_ms":)" + std::to_string(timeoutMs)
        + R"(,"slo_ms":)" + std::to_string(objectiveMs) + R"(,"max_attempts":)"
        + std::to_string(maxAttempts) + R"(,"priority":1,)" + more + "}";
}

inline std::string configJson(int version, const std::string &routes, const std::string &services)
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + routes
        + R"(],"services":[)" + services
        + R"(],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
          R"("header_timeout_ms":5000,"idle_timeout_ms":20000},)"
          R"("tenants":[{"name":"bozi300","api_keys":["9dnn2ctnfzs989anu6ws"]}]})";
}

} // namespace Review
