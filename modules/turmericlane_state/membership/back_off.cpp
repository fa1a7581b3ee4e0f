#include "back_off.h"

#include <algorithm>
#include <cassert>

namespace turmericlane
{

duration back_off(
    duration first,
    duration longest,
    std::uint32_t failures,
    std::mt19937_64& random)
{
    assert(failures > 0 && first > duration::zero() && longest >= first);
    // 2^20 times the first delay exceeds any longest delay in use.
    auto doublings = std::min(failures - 1, 20U);
    auto factor = std::min(longest / first, std::int64_t{1} << doublings);
    auto whole = std::min(longest, first * factor);
    auto half = whole.count() / 2;
    std::uniform_int_distribution<duration::rep> draw(half, whole.count());
    return duration(draw(random));
}

} // namespace turmericlane
