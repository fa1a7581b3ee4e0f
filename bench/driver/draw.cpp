#include "draw.h"

#include <xxhash.h>

#include <cmath>
#include <numbers>

namespace turmericlane::bench
{

std::uint64_t hash_values(std::initializer_list<std::uint64_t> values) noexcept
{
    return XXH3_64bits(values.begin(), values.size() * sizeof(std::uint64_t));
}

double uniform_from_hash(std::uint64_t hash) noexcept
{
    return (static_cast<double>(hash >> 11U) + 0.5) * 0x1.0p-53;
}

double normal_from_hash(std::uint64_t hash) noexcept
{
    auto radius = std::sqrt(-2.0 * std::log(uniform_from_hash(hash)));
    auto angle =
        2.0 * std::numbers::pi * uniform_from_hash(hash_values({hash, 1}));
    return radius * std::cos(angle);
}

} // namespace turmericlane::bench
