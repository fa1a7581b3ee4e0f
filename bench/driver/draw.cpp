#include "draw.h"

#include <xxhash.h>

#include <cmath>
#include <numbers>

namespace turmericlane::bench
{

std::uint64_t hash_of(std::initializer_list<std::uint64_t> parts) noexcept
{
    return XXH3_64bits(parts.begin(), parts.size() * sizeof(std::uint64_t));
}

double uniform(std::uint64_t hash) noexcept
{
    return (static_cast<double>(hash >> 11U) + 0.5) * 0x1.0p-53;
}

double normal(std::uint64_t hash) noexcept
{
    auto radius = std::sqrt(-2.0 * std::log(uniform(hash)));
    auto angle = 2.0 * std::numbers::pi * uniform(hash_of({hash, 1}));
    return radius * std::cos(angle);
}

} // namespace turmericlane::bench
