#include "Node/Worker.h"

#include "Common/Hash.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Tanagerbay::Node {

namespace asio = boost::asio;

namespace {

std::uint64_t seedOf(const Settings &settings, std::size_t index)
{
    std::random_device device;
    const std::uint64_t entropy = (static_cast<std::uint64_t>(device()) << 32) | device();
    return Common::hash64(settings.instance.value, entropy + index);
}

} // namespace

Worker::Worker(std::size_t index, const Settings &settings, Common::Counters &counters)
    : index(index), context(1), guard(asio::make_work_guard(this->context)),
      client(this->context.get_executor()),
      table(this->client, settings.platform.tableService, settings.platform.callTimeout, counters),
      objects(this->client, settings.platform.objectStore, settings.platform.callTimeout),
      instanceList(this->client, settings.platform.instanceList, settings.platform.callTimeout),
      random(seedOf(settings, index))
{
}

Http::Awaitable<void> Worker::sleepFor(Common::Duration duration)
{
    if (this->ending)
        co_return;
    asio::steady_timer timer(this->context, duration);
    this->sleepTimers.insert(&timer);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    this->sleepTimers.erase(&timer);
}

void Worker::endWork()
{
    this->ending = true;
    for (asio::steady_timer *timer : this->sleepTimers)
        timer->cancel();
    this->client.cancelAll();
    this->guard.reset();
}

std::string randomId(std::mt19937_64 &random)
{
    constexpr std::string_view kDigits = "0123456789abcdef";
    std::string id;
    for (int word = 0; word < 2; ++word) {
        std::uint64_t bits = random();
        for (int digit = 0; digit < 16; ++digit) {
            id.push_back(kDigits[bits & 0xf]);
            bits >>= 4;
        }
    }
    return id;
}

Common::Duration withJitter(Common::Duration period, std::mt19937_64 &random)
{
    std::uniform_real_distribution<double> factor(0.75, 1.25);
    return std::chrono::duration_cast<Common::Duration>(period * factor(random));
}

} // namespace Tanagerbay::Node
