#pragma once

#include <turmericlane_core/turmericlane_core.h>

#include <cstdint>

namespace turmericlane
{

/** Estimates how many instances may be running. An instance divides the limits
    that hold for the whole fleet by this number.

    A higher count is adopted at once, a lower one only after a delay: during a
    partition an instance must not use the share of instances that it cannot
    see. After the start, when the peers cannot be known yet, a fixed number is
    assumed.

    The class does no I/O and reads no clock; one thread uses it.

    @see membership_table
*/
class instance_count
{
public:
    /** @param start_time  when the process started */
    explicit instance_count(time_point start_time);

    /** Updates the estimate.
        @param live_count  known live instances, this one included
        @param now         current time
        @returns true if the value has changed */
    bool update(std::uint32_t live_count, time_point now);

    /** Returns the estimate; at least 1. */
    std::uint32_t value() const noexcept
    {
        return value_;
    }

private:
    time_point start_time_;
    std::uint32_t value_;
    /** Since when lower counts have been seen; time_point::max() if the last
        count was not lower. */
    time_point lower_since_ = time_point::max();
};

} // namespace turmericlane
