#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace turmericlane::bench
{

/** Kinds of guarantees that a run can violate. */
enum class violation : std::uint8_t
{
    mixed_answer,
    wrong_coverage,
    finished_twice,
    never_finished,
    foreign_hit,
    not_run_reached_slot,
    connection_limit,
    leaving_server
};

/** Number of kinds of violations. */
inline constexpr std::size_t violation_count = 8;

/** Number of violations of each kind. */
using violation_counts = std::array<std::uint64_t, violation_count>;

/** Returns the name of a violation in reports. */
std::string_view to_string(violation value) noexcept;

} // namespace turmericlane::bench
