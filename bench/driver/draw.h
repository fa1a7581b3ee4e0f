#pragma once

#include <cstdint>
#include <initializer_list>

namespace turmericlane::bench
{

/** Returns a hash of several numbers. Random values that are derived from it
    don't depend on the order of the events, so that both variants get the same
    service times. */
std::uint64_t hash_values(std::initializer_list<std::uint64_t> values) noexcept;

/** Maps a hash to a uniformly distributed number in the open interval from 0
    to 1. */
double uniform_from_hash(std::uint64_t hash) noexcept;

/** Maps a hash to a number of the standard normal distribution. */
double normal_from_hash(std::uint64_t hash) noexcept;

} // namespace turmericlane::bench
