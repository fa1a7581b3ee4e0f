#pragma once

#include <chrono>

namespace turmericlane
{

/** A point on the monotonic time line of one process. */
using time_point = std::chrono::steady_clock::time_point;

/** A span of monotonic time, in nanoseconds. */
using duration = std::chrono::steady_clock::duration;

/** Source of the current time.

    Decision code receives a clock instead of reading one, so that the daemon
    runs it on real time, and tests and the bench on virtual time.

    @see monotonic_clock, manual_clock
*/
class clock
{
public:
    virtual ~clock() = default;

    /** Returns the current time. It never goes back. Any thread may call. */
    virtual time_point now() const noexcept = 0;
};

} // namespace turmericlane
