#include "rig.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <sstream>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/json.hpp>

namespace Rig {

namespace json = boost::json;

namespace {

const Clock::time_point startedAt = Clock::now();
std::mutex recordMutex;
std::ofstream recordFile;

bool equalsIgnoreCase(const std::string &a, const std::string &b)
{
    return a.size() == b.size() && ::strcasecmp(a.c_str(), b.c_str()) == 0;
}

const char kDigits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string encodeBase64(const std::string &bytes)
{
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned value = 0;
        for (std::size_t k = 0; k < 3; ++k)
            value = value << 8
                | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0u);
        for (std::size_t k = 0; k < 4; ++k)
            text += i + k <= bytes.size() ? kDigits[(value >> (18 - 6 * k)) & 63] : '=';
    }
    return text;
}

std::string decodeBase64(const std::string &text)
{
    std::string bytes;
    unsigned value = 0;
    int bits = 0;
    for (const char c : text) {
        const char *at = c == '=' ? nullptr : std::strchr(kDigits, c);
        if (!at)
            break;
        value = value << 6 | static_cast<unsigned>(at - kDigits);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>(value >> bits & 255);
        }
    }
    return bytes;
}

std::string queryValue(const std::string &target, const std::string &name)
{
    const auto begin = target.find('?');
    std::istringstream fields(begin == std::string::npos ? "" : target.substr(begin + 1));
    std::string field;
    while (std::getline(fields, field, '&')) {
        if (field.rfind(name + "=", 0) == 0)
            return field.substr(name.size() + 1);
    }
    return "";
}

std::string responseBytes(int status, const std::string &body, const std::string &era)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Type: application/json\r\n"
        + (era.empty() ? "" : "Store-Era: " + era + "\r\n") + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

double nowMs()
{
    return std::chrono::duration<double, std::milli>(Clock::now() - startedAt).count();
}

void sleepMs(double ms)
{
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

void sleepUntilMs(double ms)
{
    if (ms > nowMs())
        sleepMs(ms - nowMs());
}

void openRecord(const std::string &path)
{
    recordFile.open(path, std::ios::trunc);
}

void record(const std::string &line, bool isShown)
{
    char at[32];
    std::snprintf(at, sizeof at, "%9.1f ", nowMs());
    const std::lock_guard lock(recordMutex);
    recordFile << at << line << "\n" << std::flush;
    if (isShown)
        std::printf("%s%s\n", at, line.c_str()), std::fflush(stdout);
}

std::string Message::find(const std::string &name) const
{
    for (const auto &[key, value] : this->headers) {
        if (equalsIgnoreCase(key, name))
            return value;
    }
    return "";
}

bool writeAll(int socket, const std::string &bytes)
{
    std::size_t done = 0;
    while (done < bytes.size()) {
        const auto count = ::send(socket, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        done += static_cast<std::size_t>(count);
    }
    return true;
}

namespace {

// Reads more bytes. Returns false at the end, on an error, or after the time.
bool readMore(int socket, std::string &carry, double untilMs)
{
    ::pollfd waiting{socket, POLLIN, 0};
    const int left = static_cast<int>(std::max(0.0, untilMs - nowMs()));
    if (::poll(&waiting, 1, left) <= 0)
        return false;
    char bytes[16384];
    const auto count = ::recv(socket, bytes, sizeof bytes, 0);
    if (count <= 0)
        return false;
    carry.append(bytes, static_cast<std::size_t>(count));
    return true;
}

} // namespace

bool readMessage(int socket, std::string &carry, bool isResponse, Message &message, int timeoutMs)
{
    const double until = nowMs() + timeoutMs;
    while (true) {
        message = Message();
        std::size_t headEnd;
        while ((headEnd = carry.find("\r\n\r\n")) == std::string::npos) {
            if (!readMore(socket, carry, until))
                return false;
        }
        std::istringstream head(carry.substr(0, headEnd + 2));
        carry.erase(0, headEnd + 4);
        std::string line;
        std::getline(head, line);
        std::istringstream first(line);
        if (isResponse)
            first >> message.method >> message.status;
        else
            first >> message.method >> message.target;
        while (std::getline(head, line)) {
            if (!line.empty() && line.back() == '\r')
                line.pop_back();
            const auto colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            auto value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            message.headers.emplace_back(line.substr(0, colon), value);
        }
        // An interim response: the final one follows.
        if (!isResponse || message.status >= 200)
            break;
    }
    if (equalsIgnoreCase(message.find("Transfer-Encoding"), "chunked")) {
        while (true) {
            std::size_t lineEnd;
            while ((lineEnd = carry.find("\r\n")) == std::string::npos) {
                if (!readMore(socket, carry, until))
                    return true;
            }
            const std::size_t size = std::stoul(carry.substr(0, lineEnd), nullptr, 16);
            while (carry.size() < lineEnd + 2 + size + 2) {
                if (!readMore(socket, carry, until)) {
                    message.body += carry.substr(std::min(carry.size(), lineEnd + 2));
                    return true;
                }
            }
            message.body += carry.substr(lineEnd + 2, size);
            carry.erase(0, lineEnd + 2 + size + 2);
            if (size == 0)
                break;
        }
        message.isComplete = true;
        return true;
    }
    const std::string length = message.find("Content-Length");
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    while (carry.size() < size) {
        if (!readMore(socket, carry, until))
            return true;
    }
    message.body = carry.substr(0, size);
    carry.erase(0, size);
    message.isComplete = true;
    return true;
}

namespace {

::sockaddr_in addressOf(const std::string &ip, std::uint16_t port)
{
    ::sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

std::uint16_t portOf(int socket)
{
    ::sockaddr_in address{};
    ::socklen_t size = sizeof address;
    ::getsockname(socket, reinterpret_cast<::sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}

} // namespace

int listenOn(const std::string &ip, std::uint16_t port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto address = addressOf(ip, port);
    if (::bind(socket, reinterpret_cast<const ::sockaddr *>(&address), sizeof address) != 0
        || ::listen(socket, 1024) != 0) {
        std::perror("listen");
        std::exit(2);
    }
    return socket;
}

std::uint16_t freePort(const std::string &ip)
{
    static std::set<std::uint16_t> given;
    while (true) {
        const int socket = listenOn(ip, 0);
        const std::uint16_t port = portOf(socket);
        ::close(socket);
        if (given.insert(port).second)
            return port;
    }
}

int connectTo(const std::string &ip, std::uint16_t port, int timeoutMs)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    ::timeval time{timeoutMs / 1000, (timeoutMs % 1000) * 1000};
    ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &time, sizeof time);
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const auto address = addressOf(ip, port);
    if (::connect(socket, reinterpret_cast<const ::sockaddr *>(&address), sizeof address) != 0) {
        ::close(socket);
        return -1;
    }
    return socket;
}

Store::Store()
{
    const int listener = listenOn("127.0.0.1", 0);
    this->port = portOf(listener);
    std::thread([this, listener] {
        while (true) {
            const int socket = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket >= 0)
                std::thread([this, socket] { this->serve(socket); }).detach();
        }
    }).detach();
}

std::uint64_t Store::put(const std::string &table, const std::string &key, const std::string &value)
{
    const std::lock_guard lock(this->mutex);
    const Row row{table, key, value, ++this->version, false};
    this->rows[{table, key}] = row;
    this->history.push_back(row);
    this->changed.notify_all();
    return this->version;
}

void Store::remove(const std::string &table, const std::string &key)
{
    const std::lock_guard lock(this->mutex);
    if (this->rows.erase({table, key}) == 0)
        return;
    this->history.push_back({table, key, "", ++this->version, true});
    this->changed.notify_all();
}

std::string Store::rowJson(const Row &row) const
{
    json::object object{
        {"table", row.table}, {"part", ""}, {"key", row.key}, {"ver", row.version}};
    if (row.isRemoved)
        object["removed"] = true;
    else
        object["value"] = encodeBase64(row.value);
    return json::serialize(object);
}

std::string Store::answer(const Message &request, int &status)
{
    status = 200;
    const std::string path = request.target.substr(0, request.target.find('?'));
    const std::string table = queryValue(request.target, "table");
    const auto close = [&](const std::string &list) {
        return "{\"rows\":[" + list + "],\"truncated\":false,\"ver\":"
            + std::to_string(this->version) + ",\"now_ms\":"
            + std::to_string(static_cast<std::uint64_t>(nowMs()) + 1'000'000) + "}";
    };
    std::unique_lock lock(this->mutex);
    if (path == "/v1/rows-get") {
        std::string list;
        for (const auto &[name, row] : this->rows) {
            if (name.first == table)
                list += (list.empty() ? "" : ",") + this->rowJson(row);
        }
        return close(list);
    }
    if (path == "/v1/rows-feed") {
        const auto after = std::strtoull(queryValue(request.target, "after").c_str(), nullptr, 10);
        const auto wait = std::atoi(queryValue(request.target, "wait_ms").c_str());
        const auto until = Clock::now() + std::chrono::milliseconds(wait);
        while (true) {
            std::string list;
            for (const Row &row : this->history) {
                if (row.table == table && row.version > after)
                    list += (list.empty() ? "" : ",") + this->rowJson(row);
            }
            if (!list.empty() || Clock::now() >= until)
                return close(list);
            this->changed.wait_until(lock, until);
        }
    }
    if (path == "/v1/rows-tx") {
        lock.unlock();
        const json::value body = json::parse(request.body);
        for (const json::value &each : body.at("puts").as_array())
            this->put(std::string(each.at("table").as_string()),
                      std::string(each.at("key").as_string()),
                      decodeBase64(std::string(each.at("value").as_string())));
        for (const json::value &each : body.at("remove").as_array())
            this->remove(std::string(each.at("table").as_string()),
                         std::string(each.at("key").as_string()));
        return "{\"ver\":" + std::to_string(this->version) + "}";
    }
    status = 404;
    return "{}";
}

void Store::serve(int socket)
{
    std::string carry;
    Message request;
    while (readMessage(socket, carry, false, request, 600'000) && request.isComplete) {
        int status = 200;
        std::string body = "{}";
        if (this->isDown)
            status = 503;
        else
            body = this->answer(request, status);
        sleepMs(4);
        if (!writeAll(socket, responseBytes(status, body, this->era)))
            break;
    }
    ::close(socket);
}

Proxy::Proxy(std::uint16_t targetPort) : targetPort(targetPort)
{
    const int listener = listenOn("127.0.0.1", 0);
    this->port = portOf(listener);
    std::thread([this, listener] {
        while (true) {
            const int caller = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (caller < 0)
                continue;
            if (this->isRefusing) {
                const ::linger reset{1, 0};
                ::setsockopt(caller, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
                ::close(caller);
                continue;
            }
            const auto link = std::make_shared<Link>();
            link->caller = caller;
            link->target = connectTo("127.0.0.1", this->targetPort, 1000);
            {
                const std::lock_guard lock(this->mutex);
                this->links.push_back(link);
            }
            std::thread([this, link] { this->pump(link, link->caller, link->target); }).detach();
            std::thread([this, link] { this->pump(link, link->target, link->caller); }).detach();
        }
    }).detach();
}

void Proxy::pump(std::shared_ptr<Link> link, int from, int to)
{
    char bytes[16384];
    while (true) {
        const auto count = ::recv(from, bytes, sizeof bytes, 0);
        {
            std::unique_lock lock(this->mutex);
            this->released.wait(lock, [&] { return !this->isHeld; });
        }
        // What a silent connection would carry is lost, its end as well.
        if (link->isSilent)
            return;
        if (count <= 0)
            break;
        if (!writeAll(to, std::string(bytes, static_cast<std::size_t>(count))))
            break;
    }
    link->isDone = true;
    ::shutdown(link->caller, SHUT_RDWR);
    ::shutdown(link->target, SHUT_RDWR);
}

void Proxy::silenceOpen()
{
    const std::lock_guard lock(this->mutex);
    for (const auto &link : this->links)
        link->isSilent = true;
}

void Proxy::setHeld(bool held)
{
    const std::lock_guard lock(this->mutex);
    this->isHeld = held;
    this->released.notify_all();
}

void Proxy::setRefusing(bool refuses)
{
    this->isRefusing = refuses;
    const std::lock_guard lock(this->mutex);
    for (const auto &link : this->links) {
        if (!refuses || link->isDone)
            continue;
        ::shutdown(link->caller, SHUT_RDWR);
        ::shutdown(link->target, SHUT_RDWR);
    }
}

int Proxy::openCount()
{
    const std::lock_guard lock(this->mutex);
    return static_cast<int>(std::count_if(this->links.begin(), this->links.end(),
                                          [](const auto &link) { return !link->isDone; }));
}

Worker::Worker(Store &store, std::string id, std::string service, int delayMs)
    : id(std::move(id)), service(std::move(service)), store(store), delayMs(delayMs)
{
    static std::uint64_t count = 0;
    this->born = 1'790'000'000'000 + ++count;
    this->listener = listenOn("127.0.0.1", 0);
    this->port = portOf(this->listener);
    std::thread([this] {
        while (!this->hasEnded) {
            ::sockaddr_in peer{};
            ::socklen_t size = sizeof peer;
            const int socket = ::accept4(this->listener, reinterpret_cast<::sockaddr *>(&peer),
                                         &size, SOCK_CLOEXEC);
            if (socket < 0)
                continue;
            char ip[INET_ADDRSTRLEN] = "";
            ::inet_ntop(AF_INET, &peer.sin_addr, ip, sizeof ip);
            {
                const std::lock_guard lock(this->mutex);
                if (this->cutIp == ip) {
                    const ::linger reset{1, 0};
                    ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
                    ::close(socket);
                    continue;
                }
                this->sockets[socket] = ip;
            }
            std::thread([this, socket] { this->serve(socket); }).detach();
        }
    }).detach();
}

std::string Worker::entry(const std::string &state)
{
    this->lastEntry
        = json::serialize(json::object{{"service", this->service},
                                        {"address", "127.0.0.1:" + std::to_string(this->port)},
                                        {"zone", this->zone},
                                        {"version", this->version},
                                        {"slots", 64},
                                        {"state", state},
                                        {"cold_left_ms", 0},
                                        {"born", this->born.load()},
                                        {"sequence", ++this->sequence}});
    return this->lastEntry;
}

void Worker::startBeating()
{
    this->isBeating = true;
    this->store.put("servers", this->id, this->entry("ready"));
    std::thread([this] {
        while (true) {
            sleepMs(1200);
            const std::lock_guard lock(this->mutex);
            if (!this->isBeating)
                return;
            this->store.put("servers", this->id, this->entry("ready"));
        }
    }).detach();
}

double Worker::leaveUnannounced()
{
    const std::lock_guard lock(this->mutex);
    this->isBeating = false;
    this->store.remove("servers", this->id);
    return nowMs();
}

void Worker::beat()
{
    const std::lock_guard lock(this->mutex);
    this->store.put("servers", this->id, this->entry("ready"));
}

void Worker::writeLate()
{
    const std::lock_guard lock(this->mutex);
    this->store.put("servers", this->id, this->entryBefore);
}

void Worker::loseStore()
{
    const std::lock_guard lock(this->mutex);
    this->isBeating = false;
}

void Worker::startAgain(const std::string &newVersion)
{
    const std::lock_guard lock(this->mutex);
    ++this->born;
    this->version = newVersion;
    this->entryBefore = this->lastEntry;
    this->sequence = 0;
    for (const auto &[socket, ip] : this->sockets)
        ::shutdown(socket, SHUT_RDWR);
}

double Worker::drain()
{
    const std::lock_guard lock(this->mutex);
    this->isBeating = false;
    this->store.put("servers", this->id, this->entry("draining"));
    return nowMs();
}

void Worker::end()
{
    this->hasEnded = true;
    ::shutdown(this->listener, SHUT_RDWR);
    ::close(this->listener);
    const std::lock_guard lock(this->mutex);
    for (const auto &[socket, ip] : this->sockets)
        ::shutdown(socket, SHUT_RDWR);
}

void Worker::cutOff(const std::string &ip)
{
    const std::lock_guard lock(this->mutex);
    this->cutIp = ip;
    for (const auto &[socket, from] : this->sockets) {
        if (from == ip)
            ::shutdown(socket, SHUT_RDWR);
    }
}

std::vector<Arrival> Worker::arrivals()
{
    const std::lock_guard lock(this->mutex);
    return this->received;
}

void Worker::serve(int socket)
{
    std::string carry;
    Message request;
    while (readMessage(socket, carry, false, request, 600'000) && request.isComplete) {
        std::string bytes;
        if (request.target == "/v1/report") {
            const std::string body = json::serialize(
                json::object{{"born", this->born.load()}, {"waiting", 0}, {"running", 0}});
            bytes = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                + std::to_string(body.size()) + "\r\n\r\n" + body;
        } else {
            {
                const std::lock_guard lock(this->mutex);
                this->received.push_back({nowMs(), request});
            }
            record("worker " + this->id + " " + request.method + " " + request.target + " attempt "
                   + request.find("Attempt-Id") + " tenant " + request.find("Tenant"));
            if (this->streamer) {
                if (!this->streamer(socket, request))
                    break;
                continue;
            }
            if (this->answerer) {
                bytes = this->answerer(request);
            } else if (!request.find("Expect-Instance").empty()
                       && request.find("Expect-Instance") != this->id) {
                bytes = "HTTP/1.1 421 X\r\nNot-Executed: 1\r\nAttempt-Id: "
                    + request.find("Attempt-Id") + "\r\nContent-Length: 0\r\n\r\n";
            } else {
                sleepMs(this->delayMs);
                const std::string body = "answer of " + this->id;
                bytes = "HTTP/1.1 200 OK\r\nAttempt-Id: " + request.find("Attempt-Id")
                    + "\r\nResponse-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\nContent-Length: "
                    + std::to_string(body.size()) + "\r\n\r\n" + body;
            }
        }
        if (this->hasEnded || !writeAll(socket, bytes))
            break;
    }
    {
        const std::lock_guard lock(this->mutex);
        this->sockets.erase(socket);
    }
    ::close(socket);
}

namespace {

std::mutex startedMutex;
std::set<::pid_t> started;
std::set<std::string> folders;

void endAll()
{
    const std::lock_guard lock(startedMutex);
    for (const ::pid_t pid : started) {
        if (::kill(pid, SIGKILL) == 0)
            ::waitpid(pid, nullptr, 0);
    }
}

} // namespace

Entry::Entry(std::string name, std::string ip, std::uint16_t peerPort, std::uint16_t forwardPort,
             std::uint16_t storePort, std::vector<std::string> seeds, bool connectsFromOwn)
    : ip(std::move(ip)), name(std::move(name))
{
    static const int registered = std::atexit(endAll);
    (void)registered;
    char pattern[] = "/tmp/rig2-XXXXXX";
    this->folder = ::mkdtemp(pattern);
    folders.insert(this->folder);
    this->callers = freePort(this->ip);
    this->readiness = freePort(this->ip);
    this->control = freePort(this->ip);
    this->directory = freePort(this->ip);
    const auto at = [this](std::uint16_t port) { return this->ip + ":" + std::to_string(port); };
    json::array seedList;
    for (const std::string &seed : seeds)
        seedList.emplace_back(seed);
    json::object settings{{"dialect", "platform"}, {"instance", this->name}};
    settings["failureDomain"] = "z1";
    settings["listen"] = {{"callers", at(this->callers)},
                          {"readiness", at(this->readiness)},
                          {"directory", at(this->directory)},
                          {"control", at(this->control)}};
    settings["peers"] = {{"port", peerPort},
                         {"forwardPort", forwardPort},
                         {"metricsPort", freePort(this->ip)},
                         {"seeds", std::move(seedList)}};
    // So that stand-ins can tell the machines apart.
    if (connectsFromOwn)
        settings["peers"].as_object()["connectFrom"] = this->ip;
    settings["store"] = "127.0.0.1:" + std::to_string(storePort);
    settings["cores"] = 0.25;
    settings["linkMbps"] = 1000.0;
    settings["memoryMb"] = 260;
    settings["mostDescriptors"] = 4100;
    // Figures of the sheet of hanbit-cls.
    settings["bounds"] = {{"extraSendRatio", 0.2},       {"extraSendSlack", 54},
                          {"extraSendWindowSeconds", 10}, {"leavingDelayMs", 2000},
                          {"endpointHeartbeatMs", 1200},  {"catalogDelayMs", 2000},
                          {"mostDirectoryTtlSeconds", 5}, {"graceSeconds", 8}};
    this->settingsPath = this->folder + "/settings.json";
    std::ofstream(this->settingsPath) << json::serialize(settings);
    this->start();
}

void Entry::start()
{
    const ::pid_t child = ::fork();
    if (child == 0) {
        // If this program is killed, its processes end with it. They are started by its first thread.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int log
            = ::open((this->folder + "/out").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(log, 1);
        ::dup2(log, 2);
        ::setenv("TANAGERBAY_BOOT", this->settingsPath.c_str(), 1);
        ::execl("target/tanagerbay", "target/tanagerbay", "serve", "--settings-variable",
                "TANAGERBAY_BOOT", static_cast<char *>(nullptr));
        std::_Exit(127);
    }
    this->pid = child;
    const std::lock_guard lock(startedMutex);
    started.insert(child);
}

void Entry::kill()
{
    const ::pid_t old = this->pid;
    ::kill(old, SIGKILL);
    ::waitpid(old, nullptr, 0);
    const std::lock_guard lock(startedMutex);
    started.erase(old);
}

void Entry::stopGracefully()
{
    const ::pid_t old = this->pid;
    ::kill(old, SIGTERM);
    ::waitpid(old, nullptr, 0);
    const std::lock_guard lock(startedMutex);
    started.erase(old);
    this->pid = -1;
}

void Entry::restartGracefully(double pauseMs)
{
    this->stopGracefully();
    sleepMs(pauseMs);
    this->start();
}

Entry::~Entry()
{
    if (this->pid > 0)
        this->kill();
    ::unlink((this->folder + "/settings.json").c_str());
    ::unlink((this->folder + "/out").c_str());
    ::rmdir(this->folder.c_str());
}

std::string Entry::log()
{
    std::ostringstream text;
    text << std::ifstream(this->folder + "/out").rdbuf();
    return text.str();
}

Message get(const std::string &ip, std::uint16_t port, const std::string &target)
{
    Message answer;
    const int socket = connectTo(ip, port, 500);
    if (socket < 0)
        return answer;
    std::string carry;
    if (writeAll(socket, "GET " + target + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"))
        readMessage(socket, carry, true, answer, 1000);
    ::close(socket);
    return answer;
}

bool Entry::isReady()
{
    return get(this->ip, this->readiness, "/v1/ready").status == 200;
}

bool Entry::isReader()
{
    return this->state().find("\"isReader\":true") != std::string::npos;
}

std::string Entry::state()
{
    return get(this->ip, this->control, "/v1/state").body;
}

Answer call(const Entry &entry, const std::string &method, const std::string &path,
            const std::string &id, const std::string &key, int deadlineMs,
            const std::string &moreHeaders, const std::string &body, int leavesAfterMs)
{
    Answer answer;
    const int socket = connectTo(entry.ip, entry.callers, 1000);
    if (socket < 0)
        return answer;
    std::string bytes = method + " " + path + " HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " + id
        + "\r\nDeadline-Ms: " + std::to_string(deadlineMs) + "\r\n";
    if (!key.empty())
        bytes += "Key: " + key + "\r\n";
    bytes += moreHeaders;
    if (method != "GET" || !body.empty())
        bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    bytes += "\r\n" + body;
    std::string carry;
    if (writeAll(socket, bytes)
        && readMessage(socket, carry, true, answer.message,
                       leavesAfterMs < 0 ? deadlineMs + 500 : leavesAfterMs)) {
        answer.status = answer.message.status;
        answer.isComplete = answer.message.isComplete;
    }
    ::close(socket);
    return answer;
}

void finish(int code)
{
    endAll();
    for (const std::string &folder : folders)
        std::filesystem::remove_all(folder);
    std::_Exit(code);
}

bool isTroubled()
{
    const char *trouble = std::getenv("TROUBLE");
    return !trouble || std::string(trouble) != "0";
}

} // namespace Rig
