#include "work_meter.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace turmericlane
{

namespace
{

using namespace std::chrono_literals;

/** Processor time of one attempt and its part of the request, in seconds
    (docs/measurements.md). */
constexpr double attempt_cost_s = 0.00014;
/** Time over which one measurement is taken; shorter ones depend on single
    requests. */
constexpr auto span = 500ms;
/** Weight of one measurement in the smoothed need. */
constexpr double weight = 0.4;
constexpr double percent = 100.0;
constexpr double largest_percent = 255.0;
constexpr double thousandths = 1000.0;

} // namespace

work_meter::work_meter(double cores)
    : cores_(cores)
{
    assert(cores > 0.0);
}

void work_meter::measure(time_point now)
{
    if (measured_ == time_point{})
    {
        measured_ = now;
        return;
    }
    if (now - measured_ < span)
        return;
    const auto passed = std::chrono::duration<double>(now - measured_).count();
    const auto needed = static_cast<double>(attempts_) * attempt_cost_s;
    busy_ += (needed / passed / cores_ - busy_) * weight;
    measured_ = now;
    attempts_ = 0;
}

std::uint8_t work_meter::busy_percent() const noexcept
{
    return static_cast<std::uint8_t>(
        std::clamp(std::round(busy_ * percent), 0.0, largest_percent));
}

double
work_meter::cores(std::uint8_t busy_percent, std::uint32_t capacity) noexcept
{
    return busy_percent / percent * capacity / thousandths;
}

} // namespace turmericlane
