#include "Entry/State.h"

#include "Common/Hash.h"

#include <unistd.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Tanagerbay::Entry {

namespace asio = boost::asio;

namespace {

// Hints on cached prompts are not kept: the home of a prompt follows from its name.
constexpr std::size_t kMostPrefixEntries = 1;
// An instance that is not heard of for this long is left out. Heartbeats come every half second,
// and a machine that runs six times slower still sends one within it.
constexpr Common::Milliseconds kSuspectAfter{1800};
// Added for each instance beyond those that hear of one another directly: a report of one of N is
// passed on about 120 / N times a second.
constexpr Common::Milliseconds kSuspectAfterEach{60};
constexpr std::size_t kDirectlyHeard = 7;

std::uint64_t randomSeed(const Settings &settings)
{
    std::random_device device;
    const std::uint64_t entropy = (static_cast<std::uint64_t>(device()) << 32) | device();
    return Common::hash64(settings.instance.value, entropy);
}

} // namespace

State::State(Settings given, const Dialect &dialect)
    : context(1), settings(std::move(given)), dialect(dialect), startedAt(clockNow()),
      random(randomSeed(this->settings)), log(STDOUT_FILENO, this->startedAt),
      client(this->context.get_executor())
{
    this->members.self = this->settings.instance;
    this->members.suspectAfter = kSuspectAfter;
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
    return this->pools.try_emplace(service, kMostPrefixEntries).first->second;
}

std::size_t State::liveInstances(Common::Time now) const
{
    std::size_t live = 1;
    for (const auto &[id, member] : this->members.byId) {
        const bool heard
            = member.lastReportAt && !Membership::isSuspect(this->members, member, now);
        live += id != this->settings.instance && heard ? 1 : 0;
    }
    return live;
}

void State::adaptSuspicion()
{
    const std::size_t known = this->members.byId.size();
    const auto beyond
        = static_cast<std::int64_t>(known > kDirectlyHeard ? known - kDirectlyHeard : 0);
    this->members.suspectAfter = kSuspectAfter + kSuspectAfterEach * beyond;
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
