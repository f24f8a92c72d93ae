#include "Entry/PeerDatagrams.h"

#include <array>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Tanagerbay::Entry {

namespace asio = boost::asio;
namespace json = boost::json;
using asio::ip::udp;

namespace {

constexpr std::size_t kMaxDatagramBytes = 8 << 10;

} // namespace

PeerDatagrams::PeerDatagrams(State &state) : state(state), socket(state.context)
{
}

std::string PeerDatagrams::start()
{
    boost::system::error_code error;
    const auto ip = asio::ip::make_address(this->state.settings.peers.ip, error);
    if (!error)
        this->socket.open(udp::v4(), error);
    if (!error)
        this->socket.bind({ip, this->state.settings.peers.port}, error);
    if (error) {
        return "cannot open " + Common::formatAddress(this->state.settings.peers)
            + " for datagrams: " + error.message();
    }
    this->socket.non_blocking(true, error);
    asio::co_spawn(this->state.context, this->receiveLoop(), asio::detached);
    return "";
}

void PeerDatagrams::on(const std::string &member, Handler handler)
{
    this->handlers[member] = std::move(handler);
}

void PeerDatagrams::send(const Common::Address &to, const json::object &message)
{
    const std::string datagram = json::serialize(message);
    boost::system::error_code error;
    const auto ip = asio::ip::make_address(to.ip, error);
    if (!error)
        this->socket.send_to(asio::buffer(datagram), {ip, to.port}, 0, error);
    if (error)
        this->state.metrics.count("datagrams_unsent");
}

Http::Awaitable<void> PeerDatagrams::receiveLoop()
{
    std::array<char, kMaxDatagramBytes> bytes;
    while (true) {
        udp::endpoint sender;
        boost::system::error_code error;
        const std::size_t size = co_await this->socket.async_receive_from(
            asio::buffer(bytes), sender, asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted || !this->socket.is_open())
            co_return;
        if (!error)
            this->dispatch({bytes.data(), size}, {sender.address().to_string(), sender.port()});
    }
}

void PeerDatagrams::dispatch(std::string_view datagram, const Common::Address &sender)
{
    boost::system::error_code error;
    const json::value message = json::parse({datagram.data(), datagram.size()}, error);
    bool isHandled = false;
    if (!error && message.is_object()) {
        for (const auto &[member, handler] : this->handlers) {
            if (!message.get_object().contains(member))
                continue;
            isHandled = true;
            handler(message.get_object(), sender);
        }
    }
    if (!isHandled)
        this->state.metrics.count("datagrams_invalid");
}

} // namespace Tanagerbay::Entry
