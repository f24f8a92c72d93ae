#include "Entry/State.h"

#include "Common/Hash.h"

#include <unistd.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Tanagerbay::Entry {

namespace asio = boost::asio;

namespace {

// Pools keep no index of cached prompts here: the endpoint that a prompt is routed to follows from
// the identity of the prompt.
constexpr std::size_t kMaxPrefixEntries = 1;
// An instance that the store lists, but that has never sent a report, counts as alive for so long.
constexpr Common::Milliseconds kUnheardGrace{1800};

std::uint64_t randomSeed(const Settings &settings)
{
    std::random_device device;
    const std::uint64_t entropy = (static_cast<std::uint64_t>(device()) << 32) | device();
    return Common::hash64(settings.instance.value, entropy);
}

} // namespace

State::State(Settings initialSettings, const Dialect &dialect)
    : context(1), settings(std::move(initialSettings)), dialect(dialect), startedAt(clockNow()),
      random(randomSeed(this->settings)), log(STDOUT_FILENO, this->startedAt),
      client(this->context.get_executor())
{
    this->client.connectFrom(this->settings.connectFrom);
    this->versions.completeSince = this->startedAt;
    this->members.self = this->settings.instance;
    this->members.unheardGrace = kUnheardGrace;
}

Http::Awaitable<void> State::sleepFor(Common::Duration duration)
{
    asio::steady_timer timer(this->context, duration);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

Routing::Pool &State::poolOf(const std::string &service)
{
    const auto found = this->pools.find(service);
    if (found != this->pools.end())
        return found->second;
    return this->pools.try_emplace(service, kMaxPrefixEntries).first->second;
}

std::size_t State::liveInstanceCount(Common::Time now) const
{
    std::size_t live = 1;
    for (const auto &[id, member] : this->members.byId) {
        const bool heard
            = member.lastReportAt && !Membership::isSuspect(this->members, member, now);
        live += id != this->settings.instance && heard ? 1 : 0;
    }
    return live;
}

bool State::isReady() const
{
    return this->catalog && !this->leaving;
}

void State::logState(const LogLine &line)
{
    this->log.write(line, clockNow(), true);
}

} // namespace Tanagerbay::Entry
