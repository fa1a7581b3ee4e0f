#pragma once

#include <turmericlane_core/turmericlane_core.h>

#include <cstdint>

namespace turmericlane
{

/** Measures how much of its processor share an instance needs for the attempts
    that it sends.

    Attempts are counted in place of processor time: their cost is steady, and
    the time of a process also holds its start and other work that callers do
    not cause.

    @see caller_placement
*/
class work_meter
{
public:
    /** @param cores  the instance's share, in cores; above 0 */
    explicit work_meter(double cores);

    /** An attempt was sent. */
    void on_attempt() noexcept
    {
        ++attempts_;
    }

    /** Takes a measurement; to be called every few tens of milliseconds. */
    void measure(time_point now);

    /** Smoothed need, in percent of the share; at most 255. */
    std::uint8_t busy_percent() const noexcept;

    /** Need in cores that a percentage stands for.
        @param capacity  the share in thousandths of a core */
    static double
    cores(std::uint8_t busy_percent, std::uint32_t capacity) noexcept;

private:
    double cores_;
    double busy_ = 0.0;
    std::uint64_t attempts_ = 0;
    time_point measured_{};
};

} // namespace turmericlane
