#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmericlane::standins
{

/** What the id of a hit states about its origin. */
struct hit_origin
{
    std::string service;
    std::uint32_t partition = 0;
    std::uint64_t snapshot = 0;
    std::uint64_t query_hash = 0;
    std::uint32_t position = 0;

    friend bool operator==(const hit_origin&, const hit_origin&) = default;
};

/** One hit of a stand-in. */
struct made_hit
{
    std::string id;
    double score = 0.0;
};

/** Hits that each group returns for each query. With 47 groups at most in the
    examples, an answer of 100 hits shows every group that contributed. */
inline constexpr std::uint32_t hits_per_group = 2;

/** Returns the hash that the ids of all hits of a query carry. */
std::uint64_t hash_query(std::string_view query) noexcept;

/** Returns one hit; the id and the score depend on the arguments alone. */
made_hit make_hit(
    std::string_view query,
    std::uint64_t snapshot,
    std::string_view service,
    std::uint32_t partition,
    std::uint32_t position);

/** Returns the hits of one group for a query, hits_per_group at most, by
    descending score. */
std::vector<made_hit> make_hits(
    std::string_view query,
    std::uint64_t snapshot,
    std::string_view service,
    std::uint32_t partition,
    std::uint32_t limit);

/** Returns what the id of a hit states, or nothing if it is not one of
    make_hit. */
std::optional<hit_origin> parse_hit_id(std::string_view id);

} // namespace turmericlane::standins
