#pragma once

#include "event_loop.h"

#include <turmericlane_core/turmericlane_core.h>

#include <functional>

namespace turmericlane
{

/** Calls a function at the next wakeup time that decision code asks for.
    Setting the timer again can only move the call to an earlier time, which
    keeps the number of system calls low.

    @see forward_engine
*/
class wakeup_timer
{
public:
    /** @param loop      event loop that runs the function
        @param callback  called at or after each time that was set */
    wakeup_timer(event_context& loop, std::function<void()> callback)
        : timer_(loop.get_executor())
        , callback_(std::move(callback))
    {
    }

    /** Schedules a call at the given time, unless an earlier one is scheduled
        already; time_point::max() schedules nothing. */
    void set(time_point due)
    {
        if (due >= due_)
            return;
        due_ = due;
        timer_.expires_at(due);
        timer_.async_wait(
            [this](boost::system::error_code ec)
            {
                if (ec)
                    return;
                due_ = time_point::max();
                callback_();
            });
    }

    /** Returns the time of the scheduled call; time_point::max() if there is
        none. */
    time_point due() const noexcept
    {
        return due_;
    }

private:
    loop_timer timer_;
    std::function<void()> callback_;
    time_point due_ = time_point::max();
};

} // namespace turmericlane
