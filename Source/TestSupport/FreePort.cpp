#include "TestSupport/FreePort.h"

#include <mutex>
#include <stdexcept>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace Tanagerbay::TestSupport {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr int kPortsOfABlock = 500;

// Listens without taking over an address that is still in use, as a server would.
bool listenOn(tcp::acceptor &acceptor, int port)
{
    const tcp::endpoint endpoint(asio::ip::address_v4::loopback(),
                                 static_cast<std::uint16_t>(port));
    boost::system::error_code error;
    acceptor.open(endpoint.protocol());
    acceptor.bind(endpoint, error);
    if (!error)
        acceptor.listen(1, error);
    if (error)
        acceptor.close();
    return !error;
}

// The blocks of ports that this program has claimed. It listens on the first port of each, which
// tells other programs that the block is taken.
class ClaimedPorts
{
public:
    std::uint16_t nextFree()
    {
        const std::lock_guard<std::mutex> guard(this->lock);
        while (true) {
            if (this->next == this->end)
                this->claimBlock();
            const int port = this->next++;
            tcp::acceptor probe(this->context);
            if (listenOn(probe, port))
                return static_cast<std::uint16_t>(port);
        }
    }

private:
    void claimBlock()
    {
        for (int first = kFirstTestPort; first < kLastTestPort; first += kPortsOfABlock) {
            tcp::acceptor holder(this->context);
            if (!listenOn(holder, first))
                continue;
            this->holders.push_back(std::move(holder));
            this->next = first + 1;
            this->end = first + kPortsOfABlock;
            return;
        }
        throw std::runtime_error("no block of test ports is free");
    }

    asio::io_context context;
    std::vector<tcp::acceptor> holders;
    std::mutex lock;
    int next = 0;
    int end = 0;
};

} // namespace

std::uint16_t freePort()
{
    static ClaimedPorts ports;
    return ports.nextFree();
}

} // namespace Tanagerbay::TestSupport
