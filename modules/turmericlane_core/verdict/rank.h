#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace turmericlane
{

/** Class of urgency of a request, most urgent first. */
enum class rank : std::uint8_t
{
    urgent,
    ordinary,
    archive
};

inline constexpr std::size_t rank_count = 3;

/** Every rank, most urgent first. */
inline constexpr std::array<rank, rank_count> all_ranks = {
    rank::urgent, rank::ordinary, rank::archive};

/** Returns the index of a rank in an array of rank_count elements. */
constexpr std::size_t index_of(rank value) noexcept
{
    return static_cast<std::size_t>(value);
}

/** Returns the name of a rank in the bundle, the HTTP API and the metrics. */
std::string_view to_string(rank value) noexcept;

/** Returns the rank with that name, or nothing if the name is unknown. */
std::optional<rank> parse_rank(std::string_view name) noexcept;

} // namespace turmericlane
