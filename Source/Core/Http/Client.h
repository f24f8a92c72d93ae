// HTTP/1.1 client that pools keep-alive connections by address. Each thread has its own client.
#pragma once

#include "Common/EnumNames.h"
#include "Common/Time.h"
#include "Http/Types.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include <boost/asio/any_io_executor.hpp>
#include <tl/expected.hpp>

namespace Tanagerbay::Http {

enum class CallFailure { ConnectFailed, Timeout, ConnectionLost, BadReply, Cancelled };

// What marks the end of a body.
enum class BodyFraming {
    Length,
    Chunks,
    // The body ends with its connection. An endpoint that is killed ends its connections in the
    // same way.
    Connection,
};

// How a body ended. A reset is no end but a `ConnectionLost`, and one that this side cut off a
// `Cancelled` or `Timeout`.
enum class BodyEnd {
    // After its length, or after its last chunk.
    Whole,
    // With its connection, which the peer closed in order. That is also how the system closes the
    // connections of a process that was killed in the middle of the body.
    Closed,
};

} // namespace Tanagerbay::Http

template <>
struct Tanagerbay::Common::EnumNames<Tanagerbay::Http::CallFailure>
{
    using Failure = Http::CallFailure;
    static constexpr NameTable<Failure, 5> table = {{
        {Failure::ConnectFailed, "connect failed"},
        {Failure::Timeout, "timeout"},
        {Failure::ConnectionLost, "connection lost"},
        {Failure::BadReply, "bad reply"},
        {Failure::Cancelled, "cancelled"},
    }};
};

template <>
struct Tanagerbay::Common::EnumNames<Tanagerbay::Http::BodyEnd>
{
    using End = Http::BodyEnd;
    static constexpr NameTable<End, 2> table = {{{End::Whole, "whole"}, {End::Closed, "closed"}}};
};

template <>
struct Tanagerbay::Common::EnumNames<Tanagerbay::Http::BodyFraming>
{
    using Framing = Http::BodyFraming;
    static constexpr NameTable<Framing, 3> table = {{
        {Framing::Length, "length"},
        {Framing::Chunks, "chunks"},
        {Framing::Connection, "connection"},
    }};
};

namespace Tanagerbay::Http {

struct CallError
{
    CallFailure failure = CallFailure::ConnectFailed;
    // False only if no byte of the request was passed to the operating system.
    bool written = false;
    std::string message;
    // Nothing listens at the address.
    bool isRefused = false;
};

// Cancels one call; used on the thread that runs it. A call registers its abort function here while
// it is in progress.
class CallHandle
{
public:
    void cancel()
    {
        this->cancelled = true;
        if (this->abort)
            this->abort();
    }
    bool isCancelled() const
    {
        return this->cancelled;
    }

private:
    friend class Client;
    friend class ResponseStream;
    bool cancelled = false;
    std::function<void()> abort;
};

class ResponseStream;

// What becomes of a complete reply and its connection.
enum class ReplyUse {
    Accept,
    // The reply is used; its connection is closed, since a copy of it would not be recognized
    // there.
    AcceptAndClose,
    // The reply belongs to an earlier request on the connection; the call fails.
    Reject,
};

// What is known of the process behind a connection, which it keeps for its whole life.
struct Peer
{
    // Unset if the process was not asked, or has not stated it.
    std::optional<std::uint64_t> startTime;
    // When the connection was established, or soon after.
    Common::Time connectedAt;
};

// Asked once on each connection, before the first request that needs to know the process behind it.
struct PeerQuestion
{
    Request request;
    // Runs before the question is written. If it returns false, the call ends as cancelled.
    std::function<bool()> beforeAsking;
    // Returns the start time of the process, or nothing if the reply does not state it.
    std::function<std::optional<std::uint64_t>(const Response &)> read;
    Common::Milliseconds timeout{0};
};

struct CallOptions
{
    Common::Time deadline;
    Common::Milliseconds connectTimeout{500};
    // Opens a new connection instead of reusing a pooled one. Calls that may run at most once set
    // this, so that a stale connection cannot fail them.
    bool freshConnection = false;
    // A pooled connection is reused only if it has been idle since this time or a later one.
    Common::Time reusableIdleSince = Common::Time::min();
    // Whether the request may be sent again, over a new connection, after a reused connection was
    // lost before any reply arrived.
    bool repeatable = true;
    std::size_t maxBodyBytes = 64 << 20;
    // For `call`: a reply whose body ends with its connection fails as a lost connection. Readers
    // that cannot tell a part of a body from the whole set this.
    bool requiresFraming = false;
    // Maximum number of idle connections to the address. Beyond it, the connection is closed after
    // the reply.
    std::size_t maxIdleConnections = 64;
    CallHandle *handle = nullptr;
    std::optional<PeerQuestion> peerQuestion;
    // Runs with what is known of the peer, after the question if there is one. If it returns false,
    // the call ends as cancelled, nothing is written, and the connection stays usable.
    std::function<bool(const Peer &)> acceptPeer;
    // Runs immediately before the first byte is written. If it returns false, the call ends as
    // cancelled and nothing is written.
    std::function<bool()> beforeFirstByte;
    // Runs once the head of the reply has been read. If it returns false, the reply is discarded
    // and the connection is closed.
    std::function<bool(const ResponseStream &)> acceptHead;
    // For `call`: runs once the reply is complete, before its connection can be reused.
    std::function<ReplyUse(const Response &)> acceptReply;
};

template <typename T>
using CallResult = tl::expected<T, CallError>;

// The next bytes of a body, or its end.
using BodyPart = std::variant<std::string_view, BodyEnd>;

struct ClientConnection;

// A response whose body is read incrementally.
class ResponseStream
{
public:
    ResponseStream();
    ~ResponseStream();
    ResponseStream(ResponseStream &&) noexcept;
    ResponseStream &operator=(ResponseStream &&) noexcept;

    unsigned status() const;
    std::string_view header(std::string_view name) const;
    Headers headers() const;
    // Whether the request was sent over a connection that had served an earlier request.
    bool reusedConnection() const;
    // Whether nothing was sent over the connection before, no question for its peer either. Only
    // then can the response be no copy of an earlier one.
    bool isFirstOnConnection() const;
    BodyFraming framing() const;
    Peer peer() const;
    // Whether the request was handed to the system completely.
    bool isRequestWritten() const;
    // Returns the next bytes of the body, which are valid until the next read, or how it ended.
    // Once it has ended, further reads return the same. A body that ends with its connection is
    // lost if the write of the request has failed by then.
    Awaitable<CallResult<BodyPart>> read(Common::Time deadline);
    // Closes the connection. The endpoint sees a disconnect by its caller.
    void close();

private:
    friend class Client;
    struct State;
    // Makes the connection available to other calls if its reply has ended as its framing requires.
    void release();
    std::unique_ptr<State> state;
};

class Client
{
public:
    explicit Client(boost::asio::any_io_executor executor);
    ~Client();

    // Makes new connections come from this IP address of the machine; by default the system chooses
    // it.
    void connectFrom(std::string ip);

    // Sends a request and reads the complete response.
    Awaitable<CallResult<Response>> call(Address address, Request request, CallOptions options);
    // Sends a request and reads the head of the response.
    Awaitable<CallResult<ResponseStream>> open(Address address, Request request,
                                               CallOptions options);
    // Closes the connections of all calls in progress and refuses new calls.
    void cancelAll();
    std::size_t idleConnections() const;
    // Closes the connections that have been idle since before the given time.
    void closeIdle(Common::Time before);

private:
    friend class ResponseStream;
    struct Pool;
    // Asks which process is behind the connection. Returns the reason why it did not answer. The
    // connection is closed if the answer closes it.
    static Awaitable<std::optional<CallError>> askPeer(std::shared_ptr<ClientConnection> connection,
                                                       const Address &address,
                                                       const CallOptions &options);
    std::shared_ptr<Pool> pool;
};

} // namespace Tanagerbay::Http
