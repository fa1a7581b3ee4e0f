#pragma once

#include <turmericlane_core/turmericlane_core.h>

#include <cstdint>

namespace turmericlane
{

/** Estimates how much of its processor share an instance needs for the attempts
    that it sends.

    The meter counts attempts rather than processor time: the cost of an attempt
    is steady, and the processor time of a process also includes its start and
    other work that callers do not cause.

    @see caller_placement
*/
class work_meter
{
public:
    /** @param cores  the instance's processor share in cores; above 0 */
    explicit work_meter(double cores);

    /** Counts an attempt that was sent. */
    void on_attempt() noexcept
    {
        ++attempts_;
    }

    /** Updates the measurement. To be called every few tens of milliseconds. */
    void measure(time_point now);

    /** Returns the smoothed load in percent of the processor share; at most
        255. */
    std::uint8_t busy_percent() const noexcept;

    /** Converts a load to cores.
        @param busy_percent  load in percent of the processor share
        @param capacity      processor share in thousandths of a core */
    static double
    used_cores(std::uint8_t busy_percent, std::uint32_t capacity) noexcept;

private:
    double cores_;
    double smoothed_load_ = 0.0;
    std::uint64_t attempts_ = 0;
    time_point last_measurement_{};
};

} // namespace turmericlane
