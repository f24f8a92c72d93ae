// Sockets and HTTP/1.1 messages for the stand-ins of the review: blocking calls, one thread for
// each connection. Uses the standard library and POSIX only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <strings.h>
#include <thread>
#include <utility>
#include <vector>

namespace Review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

inline void sleepFor(int milliseconds)
{
    std::this_thread::sleep_for(Milliseconds(milliseconds));
}

struct Address
{
    std::string ip;
    int port = 0;

    std::string text() const
    {
        return this->ip + ":" + std::to_string(this->port);
    }
};

inline sockaddr_in toSockaddr(const Address &address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(address.port));
    ::inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

// Listens at the address; a port of 0 lets the system choose one. Returns -1 if that fails.
inline int listenAt(Address &address)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    sockaddr_in bound = toSockaddr(address);
    socklen_t size = sizeof(bound);
    if (::bind(fd, reinterpret_cast<sockaddr *>(&bound), sizeof(bound)) != 0
        || ::listen(fd, 256) != 0) {
        ::close(fd);
        return -1;
    }
    ::getsockname(fd, reinterpret_cast<sockaddr *>(&bound), &size);
    address.port = ntohs(bound.sin_port);
    return fd;
}

inline int connectTo(const Address &address, int timeoutMs = 1000)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in to = toSockaddr(address);
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&to), sizeof(to)) != 0
        && errno != EINPROGRESS) {
        ::close(fd);
        return -1;
    }
    pollfd waiting{fd, POLLOUT, 0};
    int error = ETIMEDOUT;
    socklen_t size = sizeof(error);
    if (::poll(&waiting, 1, timeoutMs) == 1)
        ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) {
        ::close(fd);
        return -1;
    }
    const int flags = ::fcntl(fd, F_GETFL);
    ::fcntl(fd, F_SETFL, flags & ~O_NONBLOCK);
    const int one = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    return fd;
}

inline bool sendAll(int fd, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

// Closes the connection with a reset.
inline void resetConnection(int fd)
{
    const linger reset{1, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    ::close(fd);
}

// Whether the peer has closed or reset the connection.
inline bool isPeerGone(int fd)
{
    char byte = 0;
    const ssize_t count = ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

using Headers = std::vector<std::pair<std::string, std::string>>;

inline std::string headerOf(const Headers &headers, const std::string &name)
{
    for (const auto &[field, value] : headers) {
        if (::strcasecmp(field.c_str(), name.c_str()) == 0)
            return value;
    }
    return "";
}

// Reads from a connection with a buffer.
class Reader
{
public:
    explicit Reader(int fd) : fd(fd)
    {
    }

    // Reads more bytes. Returns false at the end of the connection, on an error or at the deadline.
    bool fill(Clock::time_point deadline)
    {
        const auto left = std::chrono::duration_cast<Milliseconds>(deadline - Clock::now()).count();
        pollfd waiting{this->fd, POLLIN, 0};
        if (::poll(&waiting, 1, static_cast<int>(std::max<long long>(left, 0))) != 1) {
            this->hasTimedOut = true;
            return false;
        }
        if (this->pauseMs > 0)
            sleepFor(this->pauseMs);
        char bytes[16384];
        const ssize_t count = ::recv(this->fd, bytes, std::min(this->readSize, sizeof(bytes)), 0);
        this->wasReset = count < 0;
        if (count <= 0)
            return false;
        this->buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    bool line(std::string &text, Clock::time_point deadline)
    {
        std::size_t end = 0;
        while ((end = this->buffer.find("\r\n")) == std::string::npos) {
            if (!this->fill(deadline))
                return false;
        }
        text = this->buffer.substr(0, end);
        this->buffer.erase(0, end + 2);
        return true;
    }

    bool exactly(std::size_t size, std::string &bytes, Clock::time_point deadline)
    {
        while (this->buffer.size() < size) {
            if (!this->fill(deadline))
                return false;
        }
        bytes.append(this->buffer, 0, size);
        this->buffer.erase(0, size);
        return true;
    }

    bool headers(Headers &headers, Clock::time_point deadline)
    {
        std::string text;
        while (this->line(text, deadline)) {
            if (text.empty())
                return true;
            const std::size_t colon = text.find(':');
            if (colon == std::string::npos)
                return false;
            std::size_t value = colon + 1;
            while (value < text.size() && text[value] == ' ')
                ++value;
            headers.emplace_back(text.substr(0, colon), text.substr(value));
        }
        return false;
    }

    // Reads a body of chunks up to its end. `body` holds what has arrived, also if that fails.
    bool chunks(std::string &body, Clock::time_point deadline,
                const std::function<void(const std::string &)> &onData = {})
    {
        std::string text;
        while (this->line(text, deadline)) {
            const std::size_t size = std::strtoul(text.c_str(), nullptr, 16);
            if (size == 0)
                return this->line(text, deadline);
            std::string data;
            if (!this->exactly(size, data, deadline) || !this->line(text, deadline))
                return false;
            body += data;
            if (onData)
                onData(data);
        }
        return false;
    }

    int fd;
    std::string buffer;
    // A slow reader waits before each read and takes few bytes at a time.
    int pauseMs = 0;
    std::size_t readSize = 16384;
    // Whether an interim response may precede the one that counts.
    bool mayBeProbed = false;
    bool hasTimedOut = false;
    bool wasReset = false;
};

struct Request
{
    std::string method;
    std::string target;
    Headers headers;
    std::string body;

    std::string header(const std::string &name) const
    {
        return headerOf(this->headers, name);
    }
};

// What a caller gets.
struct Response
{
    int status = 0;
    Headers headers;
    std::string body;
    // The response ended as its framing says.
    bool isComplete = false;
    bool hasTimedOut = false;

    std::string header(const std::string &name) const
    {
        return headerOf(this->headers, name);
    }
};

inline bool readRequest(Reader &reader, Request &request, Clock::time_point deadline)
{
    std::string line;
    if (!reader.line(line, deadline))
        return false;
    const std::size_t first = line.find(' ');
    const std::size_t second = line.find(' ', first + 1);
    if (first == std::string::npos || second == std::string::npos)
        return false;
    request.method = line.substr(0, first);
    request.target = line.substr(first + 1, second - first - 1);
    if (!reader.headers(request.headers, deadline))
        return false;
    if (::strcasecmp(request.header("Transfer-Encoding").c_str(), "chunked") == 0)
        return reader.chunks(request.body, deadline);
    const std::string length = request.header("Content-Length");
    return length.empty() || reader.exactly(std::stoul(length), request.body, deadline);
}

inline Response readResponse(Reader &reader, Clock::time_point deadline,
                             const std::function<void(const std::string &)> &onData = {})
{
    Response response;
    std::string line;
    const auto end = [&](bool isComplete) {
        response.isComplete = isComplete;
        response.hasTimedOut = reader.hasTimedOut;
        return response;
    };
    do {
        response.headers = {};
        response.status = 0;
        if (!reader.line(line, deadline) || line.size() < 12)
            return end(false);
        response.status = std::atoi(line.c_str() + 9);
        if (!reader.headers(response.headers, deadline))
            return end(false);
    } while (response.status == 100 && reader.mayBeProbed);
    if (::strcasecmp(response.header("Transfer-Encoding").c_str(), "chunked") == 0)
        return end(reader.chunks(response.body, deadline, onData));
    const std::string length = response.header("Content-Length");
    if (!length.empty())
        return end(reader.exactly(std::stoul(length), response.body, deadline));
    while (reader.fill(deadline)) { }
    response.body = reader.buffer;
    return end(!reader.hasTimedOut && !reader.wasReset);
}

// Accepts connections and handles each on a thread of its own. Whoever ends the process need not
// wait for these threads.
class Listener
{
public:
    using Handler = std::function<void(int fd)>;

    Listener(Address address, Handler handler) : address(std::move(address)), handler(handler)
    {
        this->start();
    }

    bool isListening() const
    {
        return this->fd >= 0;
    }

    // Ends as a process does: closes the listener and all connections.
    void stop()
    {
        const std::lock_guard lock(this->mutex);
        this->shutdownListener();
        for (const int connection : this->connections)
            ::shutdown(connection, SHUT_RDWR);
    }

    void start()
    {
        this->fd = listenAt(this->address);
        const int listening = this->fd;
        if (listening < 0)
            return;
        std::thread([this, listening] {
            while (true) {
                const int connection = ::accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
                if (connection < 0)
                    break;
                const int one = 1;
                ::setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
                {
                    const std::lock_guard lock(this->mutex);
                    this->connections.insert(connection);
                }
                std::thread([this, connection] {
                    this->handler(connection);
                    const std::lock_guard lock(this->mutex);
                    if (this->connections.erase(connection) > 0)
                        ::close(connection);
                }).detach();
            }
            ::close(listening);
        }).detach();
    }

    // To be called by a handler that closes its connection itself.
    void forget(int connection)
    {
        const std::lock_guard lock(this->mutex);
        this->connections.erase(connection);
    }

    Address address;

private:
    void shutdownListener()
    {
        if (this->fd >= 0)
            ::shutdown(this->fd, SHUT_RDWR);
        this->fd = -1;
    }

    Handler handler;
    int fd = -1;
    std::mutex mutex;
    std::set<int> connections;
};

} // namespace Review
