#include "work_meter.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace turmericlane
{

namespace
{

using namespace std::chrono_literals;

/** Processor time that an attempt takes, including its share of the work for
    the request (docs/measurements.md). */
constexpr double attempt_cost_s = 0.00014;
/** Time over which one measurement is taken; over a shorter time it would
    depend on single requests. */
constexpr auto measurement_period = 500ms;
/** Weight of the latest measurement in the smoothed load. */
constexpr double smoothing_weight = 0.4;
constexpr double percent = 100.0;
constexpr double max_percent = 255.0;
constexpr double thousandths = 1000.0;

} // namespace

work_meter::work_meter(double cores)
    : cores_(cores)
{
    assert(cores > 0.0);
}

void work_meter::measure(time_point now)
{
    if (last_measurement_ == time_point{})
    {
        last_measurement_ = now;
        return;
    }
    if (now - last_measurement_ < measurement_period)
        return;
    const auto elapsed_s =
        std::chrono::duration<double>(now - last_measurement_).count();
    const auto needed_s = static_cast<double>(attempts_) * attempt_cost_s;
    smoothed_load_ +=
        (needed_s / elapsed_s / cores_ - smoothed_load_) * smoothing_weight;
    last_measurement_ = now;
    attempts_ = 0;
}

std::uint8_t work_meter::busy_percent() const noexcept
{
    return static_cast<std::uint8_t>(
        std::clamp(std::round(smoothed_load_ * percent), 0.0, max_percent));
}

double work_meter::used_cores(
    std::uint8_t busy_percent, std::uint32_t capacity) noexcept
{
    return busy_percent / percent * capacity / thousandths;
}

} // namespace turmericlane
