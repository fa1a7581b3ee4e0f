#pragma once

#include <turmericlane_core/turmericlane_core.h>

#include <random>

namespace turmericlane
{

/** Returns the delay before the next try after a failure.

    The delay doubles with each failure in a row. Jitter takes off up to half of
    it, so that instances do not retry at the same moment.

    @param initial_delay  delay after the first failure; must be above zero
    @param max_delay      upper bound of the delay
    @param failures       failures in a row; at least 1
    @param random         source of the jitter */
duration backoff_delay(
    duration initial_delay,
    duration max_delay,
    std::uint32_t failures,
    std::mt19937_64& random);

} // namespace turmericlane
