#pragma once

#include <turmericlane_core/turmericlane_core.h>

#include <cstdint>

namespace turmericlane
{

/** The number of instances that may be running, by which an instance divides
    what all may use together.

    A higher count is believed at once. A lower one only after a while: a
    partition must not make an instance use the share of those that it cannot
    see. Until the peers can be known a number is assumed.

    Decision code; one thread uses it.

    @see membership_table
*/
class instance_count
{
public:
    /** @param start  when the process started */
    explicit instance_count(time_point start);

    /** Takes the number of live instances that are known, this one included.
        @returns true if the value has changed */
    bool update(std::uint32_t seen, time_point now);

    /** The number to count with, at least 1. */
    std::uint32_t value() const noexcept
    {
        return value_;
    }

private:
    time_point start_;
    std::uint32_t value_;
    time_point lower_since_ = time_point::max();
};

} // namespace turmericlane
