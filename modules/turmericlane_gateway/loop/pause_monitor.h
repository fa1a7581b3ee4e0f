#pragma once

#include <turmericlane_core/turmericlane_core.h>

namespace turmericlane
{

/** Notices that the process has not run for a while, from calls that a timer
    makes in each of its periods. A signal that is handled right after a pause
    may have been sent at any time during it; the longest of several pauses in a
    row counts.

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
        const auto is_longest =
            !is_just_over(now) || now - last_run_ >= pause_end_ - pause_start_;
        if (is_pause(now) && is_longest)
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
        // The timer may have been handled first after the pause.
        if (is_just_over(now))
            return pause_start_;
        return is_pause(now) ? last_run_ : now;
    }

private:
    static constexpr int min_missed_periods = 2;

    bool is_pause(time_point now) const
    {
        return now - last_run_ >= period_ * min_missed_periods;
    }

    bool is_just_over(time_point now) const
    {
        return pause_end_ != time_point::min() &&
               now - pause_end_ <= period_ * min_missed_periods;
    }

    duration period_;
    time_point last_run_;
    time_point pause_start_;
    time_point pause_end_;
};

} // namespace turmericlane
