// HTTP/1.1 client with pools of kept-alive connections, one client per thread.
#pragma once

#include "Common/EnumNames.h"
#include "Common/Time.h"
#include "Http/Types.h"

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <tl/expected.hpp>

namespace Tanagerbay::Http {

enum class CallFailure { ConnectFailed, Timeout, ConnectionLost, BadReply, Cancelled };

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

namespace Tanagerbay::Http {

struct CallError
{
    CallFailure failure = CallFailure::ConnectFailed;
    // False only while no byte of the request was handed to the operating system.
    bool written = false;
    std::string message;
};

// Cancels one call from the same thread. A call registers itself here while it runs.
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

struct CallOptions
{
    Common::Time deadline;
    Common::Milliseconds connectTimeout{500};
    // A call that may run at most once gets a new connection, so that a stale one cannot fail it.
    bool freshConnection = false;
    // Whether a call that fails on a reused connection before any reply may be sent again.
    bool repeatable = true;
    std::size_t maxBodyBytes = 64 << 20;
    // The connection is closed after the reply where so many to the address are idle already.
    std::size_t mostIdle = 64;
    CallHandle *handle = nullptr;
    // Runs right before the first byte is written. Returning false abandons the call unwritten.
    std::function<bool()> beforeFirstByte;
    // Runs on the reply's head. Returning false drops the reply and closes the connection.
    std::function<bool(const ResponseStream &)> acceptHead;
};

template <typename T>
using CallResult = tl::expected<T, CallError>;

struct ClientConnection;

// A response whose body is read in pieces.
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
    // Whether the request went over a connection that had served another before.
    bool reusedConnection() const;
    // Returns the next bytes of the body, or an empty text after its whole end. The view is valid
    // until the next read.
    Awaitable<CallResult<std::string_view>> read(Common::Time deadline);
    // Closes the connection; the endpoint sees its caller leave.
    void close();

private:
    friend class Client;
    struct State;
    std::unique_ptr<State> state;
};

class Client
{
public:
    explicit Client(boost::asio::any_io_executor executor);
    ~Client();

    // Sends a request and reads the whole response.
    Awaitable<CallResult<Response>> call(Address address, Request request, CallOptions options);
    // Sends a request and reads the head of the response.
    Awaitable<CallResult<ResponseStream>> open(Address address, Request request,
                                               CallOptions options);
    // Ends every call in progress and refuses new ones.
    void cancelAll();
    std::size_t idleConnections() const;
    // Closes idle connections that were unused since `before`.
    void closeIdle(Common::Time before);

private:
    friend class ResponseStream;
    struct Pool;
    std::shared_ptr<Pool> pool;
};

} // namespace Tanagerbay::Http
