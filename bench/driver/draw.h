#pragma once

#include <cstdint>
#include <initializer_list>

namespace turmericlane::bench
{

/** Hash of several numbers. Draws by hash don't depend on the order of the
    events, so that both variants meet the same service times. */
std::uint64_t hash_of(std::initializer_list<std::uint64_t> parts) noexcept;

/** Maps a hash to the open interval from 0 to 1. */
double uniform(std::uint64_t hash) noexcept;

/** Maps a hash to a standard normal number. */
double normal(std::uint64_t hash) noexcept;

} // namespace turmericlane::bench
