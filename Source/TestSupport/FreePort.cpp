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

constexpr int kPortsPerBlock = 500;

// Listens without the option `reuse_address`, which a server would set, so that it fails on an
// address that is still in use. Returns whether it succeeded.
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

// Allocates ports from the blocks of ports that this process has claimed. The process listens on
// the first port of each block, so that other processes find the block in use.
class PortAllocator
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
        for (int first = kFirstTestPort; first < kLastTestPort; first += kPortsPerBlock) {
            tcp::acceptor blockHolder(this->context);
            if (!listenOn(blockHolder, first))
                continue;
            this->blockHolders.push_back(std::move(blockHolder));
            this->next = first + 1;
            this->end = first + kPortsPerBlock;
            return;
        }
        throw std::runtime_error("all blocks of test ports are in use");
    }

    asio::io_context context;
    std::vector<tcp::acceptor> blockHolders;
    std::mutex lock;
    int next = 0;
    int end = 0;
};

} // namespace

std::uint16_t freePort()
{
    static PortAllocator allocator;
    return allocator.nextFree();
}

} // namespace Tanagerbay::TestSupport
