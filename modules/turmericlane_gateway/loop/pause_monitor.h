#pragma once

#include <turmericlane_core/turmericlane_core.h>

namespace turmericlane
{

/** Notices that the process has not run for a while, from calls that a timer
    makes in each of its periods. A signal that is handled right after a pause
    may have been sent at any time during it.

    @see gateway::terminate
*/
class pause_monitor
{
public:
    /** @param period  period of the timer */
    pause_monitor(duration period, time_point now)
        : period_(period)
        , last_run_(now)
        , pause_start_(now)
        , pause_end_(time_point::min())
    {
    }

    /** To be called in each period. */
    void on_run(time_point now)
    {
        if (is_pause(now))
        {
            pause_start_ = last_run_;
            pause_end_ = now;
        }
        last_run_ = now;
    }

    /** Returns the earliest time at which a signal that is handled now can have
        been sent. */
    time_point earliest_signal_time(time_point now) const
    {
        if (is_pause(now))
            return last_run_;
        // The timer may have been handled first after the pause.
        const auto is_just_over =
            pause_end_ != time_point::min() && now - pause_end_ < period_;
        return is_just_over ? pause_start_ : now;
    }

private:
    bool is_pause(time_point now) const
    {
        constexpr int min_missed_periods = 2;
        return now - last_run_ >= period_ * min_missed_periods;
    }

    duration period_;
    time_point last_run_;
    time_point pause_start_;
    time_point pause_end_;
};

} // namespace turmericlane
