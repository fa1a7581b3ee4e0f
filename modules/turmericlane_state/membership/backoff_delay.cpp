#include "backoff_delay.h"

#include <algorithm>
#include <cassert>

namespace turmericlane
{

duration backoff_delay(
    duration initial_delay,
    duration max_delay,
    std::uint32_t failures,
    std::mt19937_64& random)
{
    assert(
        failures > 0 && initial_delay > duration::zero() &&
        max_delay >= initial_delay);
    // 2^20 times the initial delay exceeds every maximum in use.
    auto doublings = std::min(failures - 1, 20U);
    auto factor =
        std::min(max_delay / initial_delay, std::int64_t{1} << doublings);
    auto full_delay = std::min(max_delay, initial_delay * factor);
    auto half_ticks = full_delay.count() / 2;
    std::uniform_int_distribution<duration::rep> distribution(
        half_ticks, full_delay.count());
    return duration(distribution(random));
}

} // namespace turmericlane
