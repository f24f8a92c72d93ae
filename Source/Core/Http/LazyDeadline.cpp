#include "Http/LazyDeadline.h"

#include "Common/Clock.h"

namespace Tanagerbay::Http {

struct LazyDeadline::State
{
    State(const boost::asio::any_io_executor &executor, std::function<void()> onExpired)
        : timer(executor), onExpired(std::move(onExpired))
    {
    }

    boost::asio::steady_timer timer;
    std::function<void()> onExpired;
    Common::Time deadline = Common::Time::max();
    // When the timer fires; `Time::max()` while it is not armed.
    Common::Time firesAt = Common::Time::max();
    bool expired = false;
};

LazyDeadline::LazyDeadline(const boost::asio::any_io_executor &executor,
                           std::function<void()> onExpired)
    : state(std::make_shared<State>(executor, std::move(onExpired)))
{
}

LazyDeadline::~LazyDeadline()
{
    this->state->onExpired = nullptr;
    this->state->deadline = Common::Time::max();
    this->state->timer.cancel();
}

void LazyDeadline::arm(const std::shared_ptr<State> &state)
{
    state->firesAt = state->deadline;
    state->timer.expires_at(state->deadline);
    state->timer.async_wait([state](boost::system::error_code error) {
        // The wait was cancelled: the deadline was moved to an earlier time or disarmed, or the
        // owner was destroyed.
        if (error)
            return;
        state->firesAt = Common::Time::max();
        if (state->deadline == Common::Time::max())
            return;
        if (Common::clockNow() < state->deadline) {
            arm(state);
            return;
        }
        state->expired = true;
        if (state->onExpired)
            state->onExpired();
    });
}

void LazyDeadline::moveTo(Common::Time deadline)
{
    this->state->deadline = deadline;
    this->state->expired = false;
    if (deadline < this->state->firesAt)
        arm(this->state);
}

void LazyDeadline::clear()
{
    this->state->deadline = Common::Time::max();
}

void LazyDeadline::disarm()
{
    this->state->deadline = Common::Time::max();
    this->state->firesAt = Common::Time::max();
    this->state->timer.cancel();
}

bool LazyDeadline::hasExpired() const
{
    return this->state->expired;
}

} // namespace Tanagerbay::Http
