#pragma once

#include "event_loop.h"

#include <turmericlane_core/turmericlane_core.h>

#include <functional>

namespace turmericlane
{

/** Calls a function at the time that decision code asks for next. A timer that
    is set already is moved only to an earlier time, which keeps the number of
    system calls low.

    @see forward_engine
*/
class wakeup_timer
{
public:
    /** @param loop  runs the function
        @param call  called at or after each time that was set */
    wakeup_timer(event_context& loop, std::function<void()> call)
        : timer_(loop.get_executor())
        , call_(std::move(call))
    {
    }

    /** Makes sure that the function is called at a time;
        time_point::max() sets nothing. */
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
                call_();
            });
    }

    /** When the function is called next; time_point::max() for never. */
    time_point due() const noexcept
    {
        return due_;
    }

private:
    loop_timer timer_;
    std::function<void()> call_;
    time_point due_ = time_point::max();
};

} // namespace turmericlane
