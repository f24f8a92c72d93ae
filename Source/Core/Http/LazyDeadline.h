// A deadline that moves with every read or write without touching a timer each time.
//
// The timer is armed for some deadline and left alone while the deadline moves on. When it fires
// too early, it is armed again.
#pragma once

#include "Common/Time.h"

#include <functional>
#include <memory>

#include <boost/asio/steady_timer.hpp>

namespace Tanagerbay::Http {

// Used on its executor only.
class LazyDeadline
{
public:
    // `onExpired` runs once the deadline has passed.
    LazyDeadline(const boost::asio::any_io_executor &executor, std::function<void()> onExpired);
    ~LazyDeadline();
    LazyDeadline(const LazyDeadline &) = delete;
    LazyDeadline &operator=(const LazyDeadline &) = delete;

    // Moves the deadline, to an earlier or a later time.
    void moveTo(Common::Time deadline);
    // Takes the deadline away until it is moved again.
    void clear();
    // Takes the deadline away and the timer with it, so that nothing is left to wait for.
    void disarm();
    bool hasExpired() const;

private:
    struct State;
    static void arm(const std::shared_ptr<State> &state);
    std::shared_ptr<State> state;
};

} // namespace Tanagerbay::Http
