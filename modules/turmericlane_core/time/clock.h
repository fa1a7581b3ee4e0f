#pragma once

#include <chrono>

namespace turmericlane
{

/** A point in monotonic time; comparable within one process only. */
using time_point = std::chrono::steady_clock::time_point;

/** A difference of two points in time, in nanoseconds. */
using duration = std::chrono::steady_clock::duration;

/** Source of the current time.

    Code that makes decisions gets its clock as a parameter, so that a program
    runs it on real time, and tests and benchmarks run it on simulated time.

    @see monotonic_clock, manual_clock
*/
class clock
{
public:
    virtual ~clock() = default;

    /** Returns the current time, which never goes back. Any thread may call
        it. */
    virtual time_point now() const noexcept = 0;
};

} // namespace turmericlane
