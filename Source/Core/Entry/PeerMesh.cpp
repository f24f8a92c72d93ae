#include "Entry/PeerMesh.h"

#include <array>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace Tanagerbay::Entry {

namespace asio = boost::asio;
namespace json = boost::json;
using asio::ip::tcp;

namespace {

constexpr std::size_t kFrameHeaderBytes = 4;
// A catalog of several thousand routes is about a megabyte.
constexpr std::size_t kMaxFrameBytes = 16 << 20;
constexpr std::size_t kMaxQueuedBytes = 32 << 20;

void appendFrame(std::string &out, const std::string &body)
{
    const auto size = static_cast<std::uint32_t>(body.size());
    for (int shift = 24; shift >= 0; shift -= 8)
        out.push_back(static_cast<char>((size >> shift) & 0xff));
    out.append(body);
}

} // namespace

class PeerLink : public std::enable_shared_from_this<PeerLink>
{
public:
    PeerLink(PeerMesh &mesh, tcp::socket socket) : socket(std::move(socket)), mesh(mesh)
    {
    }

    void write(const json::object &message)
    {
        if (this->isClosed || this->queued.size() > kMaxQueuedBytes) {
            this->mesh.countDropped();
            return;
        }
        appendFrame(this->queued, json::serialize(message));
        this->flush();
    }

    void close()
    {
        this->isClosed = true;
        boost::system::error_code ignored;
        this->socket.close(ignored);
    }

    Http::Awaitable<void> connectAndReceive(Common::Address to)
    {
        boost::system::error_code error;
        const auto ip = asio::ip::make_address(to.ip, error);
        if (!error) {
            const asio::ip::tcp::endpoint endpoint(ip, to.port);
            co_await this->socket.async_connect(endpoint,
                                                asio::redirect_error(asio::use_awaitable, error));
        }
        if (error || this->isClosed) {
            this->wasRefused = error == asio::error::connection_refused;
            this->close();
            co_return;
        }
        this->isConnected = true;
        this->flush();
        co_await this->read();
    }

    Http::Awaitable<void> read()
    {
        this->isConnected = true;
        boost::system::error_code error;
        this->socket.set_option(tcp::no_delay(true), error);
        std::string buffer;
        std::array<char, 16 << 10> bytes;
        while (!this->isClosed) {
            const std::size_t size = co_await this->socket.async_read_some(
                asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
            if (error)
                break;
            this->lastReceivedAt = clockNow();
            buffer.append(bytes.data(), size);
            if (!this->dispatchFrames(buffer))
                break;
        }
        this->close();
    }

    tcp::socket socket;
    bool isClosed = false;
    bool isConnected = false;
    bool wasRefused = false;
    std::uint64_t number = 0;
    std::optional<Common::Time> lastReceivedAt;

private:
    // Dispatches the complete frames in the buffer and removes them. Returns false if a frame
    // exceeds the size limit.
    bool dispatchFrames(std::string &buffer)
    {
        std::size_t offset = 0;
        while (buffer.size() - offset >= kFrameHeaderBytes) {
            std::size_t size = 0;
            for (std::size_t i = 0; i < kFrameHeaderBytes; ++i)
                size = (size << 8) | static_cast<unsigned char>(buffer[offset + i]);
            if (size > kMaxFrameBytes)
                return false;
            if (buffer.size() - offset - kFrameHeaderBytes < size)
                break;
            this->mesh.dispatch(this->shared_from_this(),
                                std::string_view(buffer).substr(offset + kFrameHeaderBytes, size));
            offset += kFrameHeaderBytes + size;
        }
        buffer.erase(0, offset);
        return true;
    }

    void flush()
    {
        if (this->isWriting || !this->isConnected || this->queued.empty() || this->isClosed)
            return;
        this->isWriting = true;
        this->inFlight = std::exchange(this->queued, {});
        asio::async_write(
            this->socket, asio::buffer(this->inFlight),
            [self = this->shared_from_this()](boost::system::error_code error, std::size_t) {
                self->isWriting = false;
                if (error)
                    self->close();
                else
                    self->flush();
            });
    }

    PeerMesh &mesh;
    std::string queued;
    std::string inFlight;
    bool isWriting = false;
};

PeerMesh::PeerMesh(State &state) : state(state), acceptor(state.context)
{
}

PeerMesh::~PeerMesh() = default;

void PeerMesh::countDropped()
{
    this->state.metrics.count("peer_messages_dropped");
}

std::string PeerMesh::start()
{
    boost::system::error_code error;
    const auto ip = asio::ip::make_address(this->state.settings.peers.ip, error);
    const tcp::endpoint endpoint(ip, this->state.settings.peers.port);
    if (!error)
        this->acceptor.open(endpoint.protocol(), error);
    if (!error)
        this->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        this->acceptor.bind(endpoint, error);
    if (!error)
        this->acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error) {
        return "cannot listen on " + Common::formatAddress(this->state.settings.peers) + ": "
            + error.message();
    }
    this->on("ping", [this](const PeerLinkPtr &link, const json::object &) {
        this->reply(link, {{"type", "pong"}});
    });
    this->on("pong", [](const PeerLinkPtr &, const json::object &) {});
    asio::co_spawn(this->state.context, this->acceptLoop(), asio::detached);
    return "";
}

Http::Awaitable<void> PeerMesh::acceptLoop()
{
    while (true) {
        boost::system::error_code error;
        tcp::socket socket = co_await this->acceptor.async_accept(
            asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted)
            co_return;
        if (error) {
            this->state.metrics.count("peer_accepts_failed");
            continue;
        }
        const auto link = std::make_shared<PeerLink>(*this, std::move(socket));
        asio::co_spawn(
            this->state.context, [link]() -> Http::Awaitable<void> { co_await link->read(); },
            asio::detached);
    }
}

void PeerMesh::on(const std::string &type, Handler handler)
{
    this->handlers[type] = std::move(handler);
}

void PeerMesh::send(const Common::Address &to, const json::object &message)
{
    PeerLinkPtr &link = this->outgoing[to];
    if (!link || link->isClosed) {
        link = std::make_shared<PeerLink>(*this, tcp::socket(this->state.context));
        link->number = ++this->lastLinkNumber;
        asio::co_spawn(
            this->state.context,
            [link, to]() -> Http::Awaitable<void> { co_await link->connectAndReceive(to); },
            asio::detached);
    }
    link->write(message);
}

void PeerMesh::reply(const PeerLinkPtr &link, const json::object &message)
{
    link->write(message);
}

std::optional<Common::Time> PeerMesh::lastReceivedAt(const Common::Address &from) const
{
    const auto found = this->outgoing.find(from);
    if (found == this->outgoing.end() || found->second->isClosed)
        return std::nullopt;
    return found->second->lastReceivedAt;
}

std::uint64_t PeerMesh::linkNumber(const Common::Address &to) const
{
    const auto found = this->outgoing.find(to);
    return found == this->outgoing.end() || found->second->isClosed ? 0 : found->second->number;
}

bool PeerMesh::isRefusing(const Common::Address &to) const
{
    const auto found = this->outgoing.find(to);
    return found != this->outgoing.end() && found->second->wasRefused;
}

void PeerMesh::disconnect(const Common::Address &to)
{
    const auto found = this->outgoing.find(to);
    if (found == this->outgoing.end())
        return;
    found->second->close();
    this->outgoing.erase(found);
}

void PeerMesh::dispatch(const PeerLinkPtr &link, std::string_view frame)
{
    boost::system::error_code error;
    const json::value message = json::parse({frame.data(), frame.size()}, error);
    if (error || !message.is_object()) {
        this->state.metrics.count("peer_messages_invalid");
        return;
    }
    const json::object &object = message.get_object();
    const auto handler = this->handlers.find(textOf(object, "type"));
    // During a rolling update, instances of two versions run side by side, so unknown message types
    // are ignored.
    if (handler == this->handlers.end()) {
        this->state.metrics.count("peer_messages_unknown");
        return;
    }
    handler->second(link, object);
}

std::uint64_t numberOf(const json::object &message, std::string_view key)
{
    const json::value *value = message.if_contains(key);
    if (value && value->is_uint64())
        return value->get_uint64();
    if (value && value->is_int64() && value->get_int64() >= 0)
        return static_cast<std::uint64_t>(value->get_int64());
    return 0;
}

std::string textOf(const json::object &message, std::string_view key)
{
    const json::value *value = message.if_contains(key);
    return value && value->is_string() ? std::string(value->get_string()) : std::string();
}

const json::array *arrayOf(const json::object &message, std::string_view key)
{
    const json::value *value = message.if_contains(key);
    return value && value->is_array() ? &value->get_array() : nullptr;
}

} // namespace Tanagerbay::Entry
