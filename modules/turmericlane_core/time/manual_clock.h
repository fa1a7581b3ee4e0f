#pragma once

#include "clock.h"

#include <cassert>

namespace turmericlane
{

/** A clock that moves only when told to, for tests and the bench. One thread
    uses it.

    @see clock
*/
class manual_clock final : public clock
{
public:
    /** Returns the time that was last set; at first one hour, so that code may
        subtract spans from it. */
    time_point now() const noexcept override
    {
        return now_;
    }

    /** Moves the time forward by a span of zero or more. */
    void advance(duration span)
    {
        assert(span >= duration::zero());
        now_ += span;
    }

    /** Moves the time forward to a point that is not in the past. */
    void advance_to(time_point point)
    {
        assert(point >= now_);
        now_ = point;
    }

private:
    time_point now_{std::chrono::hours(1)};
};

} // namespace turmericlane
