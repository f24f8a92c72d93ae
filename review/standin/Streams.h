// Model workers and clients of streams, for the cases about streams.
#pragma once

#include "Platform.h"

namespace Review {

// Text of one event. It names the software version of the worker that made it.
inline std::string eventText(int number, const std::string &version)
{
    return "id: " + std::to_string(number) + "\ndata: made-by " + version + "\n\n";
}

inline std::string streamHead(const WorkerCall &call)
{
    return responseHead(call, 200, "Content-Type: text/event-stream\r\n");
}

// Number of the first event that the request asks for; events count from 1.
inline int firstEventOf(const Request &request)
{
    const std::string last = request.header("Last-Event-Id");
    return last.empty() ? 1 : std::atoi(last.c_str()) + 1;
}

// What a client has read of a stream.
struct StreamSeen
{
    std::string attempt;
    int status = 0;
    bool isComplete = false;
    std::vector<int> events;
    std::set<std::string> versions;

    bool isInOrder(int count) const
    {
        for (int i = 0; i < static_cast<int>(this->events.size()); ++i) {
            if (this->events[i] != i + 1)
                return false;
        }
        return static_cast<int>(this->events.size()) == count;
    }

    std::string text() const
    {
        std::string names;
        for (const std::string &version : this->versions)
            names += (names.empty() ? "" : " and ") + version;
        return "stream " + this->attempt + ": status " + std::to_string(this->status) + ", "
            + (this->isComplete ? "complete" : "not complete") + ", "
            + std::to_string(this->events.size()) + " events"
            + (names.empty() ? "" : ", made by " + names);
    }
};

inline StreamSeen readEvents(const std::string &attempt, const Response &response)
{
    StreamSeen seen;
    seen.attempt = attempt;
    seen.status = response.status;
    seen.isComplete = response.isComplete;
    std::istringstream lines(response.body);
    for (std::string line; std::getline(lines, line);) {
        if (line.rfind("id: ", 0) == 0)
            seen.events.push_back(std::atoi(line.c_str() + 4));
        else if (line.rfind("data: made-by ", 0) == 0)
            seen.versions.insert(line.substr(14));
    }
    return seen;
}

// Sends a request for a stream over a new connection and reads all of the response. `part` names
// the part of the prompt that the request shares with its session.
inline StreamSeen callStream(const Address &front, const std::string &target,
                             const std::string &attempt, const std::string &part, int deadlineMs)
{
    const int fd = connectTo(front);
    if (fd < 0)
        return readEvents(attempt, {});
    Reader reader(fd);
    sendAll(fd,
            requestText("POST", target, attempt, deadlineMs,
                        "Model: m\r\nToken-Count: 500,300\r\nPrompt-Prefix: " + part + ":300,"
                            + attempt + ":200\r\n",
                        "prompt"));
    const StreamSeen seen
        = readEvents(attempt, readResponse(reader, Clock::now() + Milliseconds(deadlineMs + 500)));
    ::close(fd);
    return seen;
}

inline std::string engineJson(const std::string &name)
{
    return R"({"name":")" + name
        + R"(","max_connections":360,"engine":{"slots":64,"kv_capacity":373934}})";
}

} // namespace Review
