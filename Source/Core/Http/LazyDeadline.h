// A deadline that can be moved on every read or write without re-arming its timer each time.
//
// The timer stays armed for an earlier deadline when the deadline is extended. If it then fires too
// early, it is armed again for the current deadline.
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

    // Sets the deadline, to an earlier or a later time than before.
    void moveTo(Common::Time deadline);
    // Removes the deadline until the next `moveTo`; the timer may stay armed.
    void clear();
    // Removes the deadline and cancels the timer, so that no wait is pending on the executor.
    void disarm();
    bool hasExpired() const;

private:
    struct State;
    static void arm(const std::shared_ptr<State> &state);
    std::shared_ptr<State> state;
};

} // namespace Tanagerbay::Http
