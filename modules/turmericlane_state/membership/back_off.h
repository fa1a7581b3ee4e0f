#pragma once

#include <turmericlane_core/turmericlane_core.h>

#include <random>

namespace turmericlane
{

/** Returns the delay before the next try: doubles with each failure in a row,
    and is drawn from its upper half so that instances spread out.

    @param first     delay after the first failure
    @param longest   upper bound
    @param failures  failures in a row, at least one
    @param random    source of the jitter */
duration back_off(
    duration first,
    duration longest,
    std::uint32_t failures,
    std::mt19937_64& random);

} // namespace turmericlane
