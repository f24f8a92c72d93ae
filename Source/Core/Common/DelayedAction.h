// Runs an action once after a delay, unless it is destroyed before.
#pragma once

#include "Common/Time.h"

#include <functional>
#include <memory>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace Tanagerbay::Common {

class DelayedAction
{
public:
    explicit DelayedAction(const boost::asio::any_io_executor &executor) : timer(executor)
    {
    }
    explicit DelayedAction(boost::asio::io_context &context) : timer(context)
    {
    }
    DelayedAction(const DelayedAction &) = delete;
    DelayedAction &operator=(const DelayedAction &) = delete;

    // Replaces an action that has not run yet.
    void start(Duration delay, std::function<void()> action)
    {
        // Destroying a timer does not stop a handler that is already queued because the timer has
        // expired: that handler finds the reference expired.
        this->pending = std::make_shared<std::function<void()>>(std::move(action));
        this->timer.expires_after(delay);
        this->timer.async_wait(
            [reference = std::weak_ptr(this->pending)](const boost::system::error_code &error) {
                const auto action = reference.lock();
                if (!error && action)
                    (*action)();
            });
    }

    void cancel()
    {
        this->pending.reset();
        this->timer.cancel();
    }

private:
    boost::asio::steady_timer timer;
    std::shared_ptr<std::function<void()>> pending;
};

} // namespace Tanagerbay::Common
