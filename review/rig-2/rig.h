// Small stand-ins for the scripts of the second review: a store, a TCP proxy, workers, clients, and
// a starter of `tanagerbay serve` processes. One thread a connection; everything on loopback.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace Rig {

using Clock = std::chrono::steady_clock;

// Milliseconds since the start of the rig.
double nowMs();
void sleepMs(double ms);
void sleepUntilMs(double ms);

// Writes a line with the time to record.txt, and to standard output if `isShown`.
void record(const std::string &line, bool isShown = false);
void openRecord(const std::string &path);

std::uint16_t freePort(const std::string &ip);

struct Message
{
    // Request: method and target. Response: status.
    std::string method;
    std::string target;
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    bool isComplete = false;
    std::string find(const std::string &name) const;
};

// Blocking reads and writes on a socket. `carry` keeps bytes that were read ahead.
bool readMessage(int socket, std::string &carry, bool isResponse, Message &message, int timeoutMs);
bool writeAll(int socket, const std::string &bytes);
int listenOn(const std::string &ip, std::uint16_t port);
int connectTo(const std::string &ip, std::uint16_t port, int timeoutMs);

// The platform's store as its pages tell: rows, transactions, feeds.
class Store
{
public:
    Store();
    std::uint16_t port = 0;
    // Value of the header `Store-Era`; none is sent if it is empty.
    std::string era = "1";
    // Returns the version. The return is the acknowledgement.
    std::uint64_t put(const std::string &table, const std::string &key, const std::string &value);
    void remove(const std::string &table, const std::string &key);
    // Answers 503 to all calls.
    std::atomic<bool> isDown{false};

private:
    struct Row
    {
        std::string table;
        std::string key;
        std::string value;
        std::uint64_t version = 0;
        bool isRemoved = false;
    };
    void serve(int socket);
    std::string answer(const Message &request, int &status);
    std::string rowJson(const Row &row) const;
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::pair<std::string, std::string>, Row> rows;
    std::deque<Row> history;
    std::uint64_t version = 1;
};

// Forwards connections on a loopback port to a target.
class Proxy
{
public:
    Proxy(std::uint16_t targetPort);
    std::uint16_t port = 0;
    // The connections that are open now forward nothing more, without a reset. New ones work.
    void silenceOpen();
    // Nothing passes, on open connections and on new ones, until it is ended; then all goes on.
    void setHeld(bool held);
    // Resets the open connections, and new ones as soon as they are made, until it is ended.
    void setRefusing(bool refuses);
    int openCount();

private:
    struct Link
    {
        int caller = -1;
        int target = -1;
        std::atomic<bool> isSilent{false};
        std::atomic<bool> isDone{false};
    };
    void pump(std::shared_ptr<Link> link, int from, int to);
    std::uint16_t targetPort;
    std::mutex mutex;
    std::condition_variable released;
    bool isHeld = false;
    std::atomic<bool> isRefusing{false};
    std::vector<std::shared_ptr<Link>> links;
};

struct Arrival
{
    double at = 0;
    Message request;
};

// A worker of a service, with an entry in the store that it renews.
class Worker
{
public:
    Worker(Store &store, std::string id, std::string service, int delayMs);
    // Writes the entry and renews it every 1.2 s.
    void startBeating();
    // Removes its entry from the store, as a worker that leaves without `draining`; it goes on
    // serving. Returns the time of the acknowledgement.
    double leaveUnannounced();
    // Writes that it is draining; its entry stays. Returns the time of the acknowledgement.
    double drain();
    // Ends the process: connections are closed, new ones refused.
    void end();
    std::vector<Arrival> arrivals();
    // Resets the connections that come from this address, old and new.
    void cutOff(const std::string &ip);
    std::string id;
    std::string service;
    std::uint16_t port = 0;
    std::atomic<std::uint64_t> born{0};
    // Makes the answer to a request, without the connection's headers; the default is a 200.
    std::function<std::string(const Message &request)> answerer;
    // Writes the answer to a request itself, if it is set. Returns whether the connection is kept.
    std::function<bool(int socket, const Message &request)> streamer;
    std::string zone = "z1";
    // Of its software, in its entry.
    std::string version = "1.0";
    // Cuts the worker off from the store: it renews its entry no more, and the entry stays.
    void loseStore();
    // Renews the entry now; the next time follows 1.2 s later.
    void beat();
    // The last entry of the process before, which the store takes late.
    void writeLate();
    // The process ends and starts again at once under the same id, with another version.
    void startAgain(const std::string &newVersion);

private:
    void serve(int socket);
    std::string entry(const std::string &state);
    std::string lastEntry;
    std::string entryBefore;
    Store &store;
    int delayMs;
    int listener = -1;
    std::mutex mutex;
    std::vector<Arrival> received;
    std::map<int, std::string> sockets;
    std::string cutIp;
    std::atomic<bool> isBeating{false};
    std::atomic<bool> hasEnded{false};
    std::uint64_t sequence = 0;
};

// A process of the command in the deploy file.
class Entry
{
public:
    Entry(std::string name, std::string ip, std::uint16_t peerPort, std::uint16_t forwardPort,
          std::uint16_t storePort, std::vector<std::string> seeds, bool connectsFromOwn = false);
    ~Entry();
    // Starts the process with the settings that were written.
    void start();
    // Sends SIGTERM and waits for the end.
    void stopGracefully();
    // SIGKILL.
    void kill();
    // Sends SIGTERM, waits for the end, and starts the process again after a pause.
    void restartGracefully(double pauseMs);
    bool isReady();
    // Whether the process says at its control address that it reads the store for others.
    bool isReader();
    // What it tells there.
    std::string state();
    std::string log();
    std::string ip;
    std::string name;
    std::uint16_t callers = 0;
    std::uint16_t readiness = 0;
    std::uint16_t control = 0;
    std::uint16_t directory = 0;
    std::atomic<::pid_t> pid{-1};

private:
    std::string folder;
    std::string settingsPath;
};

struct Answer
{
    int status = 0;
    bool isComplete = false;
    Message message;
};

// Sends one request over a new connection, and closes it after the deadline or earlier.
Answer call(const Entry &entry, const std::string &method, const std::string &path,
            const std::string &id, const std::string &key, int deadlineMs,
            const std::string &moreHeaders = "", const std::string &body = "",
            int leavesAfterMs = -1);

// Sends a GET request without a body over a new connection.
Message get(const std::string &ip, std::uint16_t port, const std::string &target);

bool isTroubled();

// Ends all processes that were started, and this one, whatever its threads do.
[[noreturn]] void finish(int code);

} // namespace Rig
