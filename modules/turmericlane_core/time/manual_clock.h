#pragma once

#include "clock.h"

#include <cassert>

namespace turmericlane
{

/** A clock that only its user moves, for tests and benchmarks. A single thread
    may use it.

    @see clock
*/
class manual_clock final : public clock
{
public:
    /** Returns the current time. It starts at one hour, so that code may
        subtract durations from it. */
    time_point now() const noexcept override
    {
        return now_;
    }

    /** Moves the time forward by zero or more. */
    void advance(duration amount)
    {
        assert(amount >= duration::zero());
        now_ += amount;
    }

    /** Moves the time forward to a time that is not in the past. */
    void advance_to(time_point new_time)
    {
        assert(new_time >= now_);
        now_ = new_time;
    }

private:
    time_point now_{std::chrono::hours(1)};
};

} // namespace turmericlane
