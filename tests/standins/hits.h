#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmericlane::standins
{

/** Origin of a hit, as its id states it. */
struct hit_origin
{
    std::string service;
    std::uint32_t partition = 0;
    std::uint64_t snapshot = 0;
    std::uint64_t query_hash = 0;
    std::uint32_t position = 0;

    friend bool operator==(const hit_origin&, const hit_origin&) = default;
};

/** One hit that a stand-in returns. */
struct standin_hit
{
    std::string id;
    double score = 0.0;
};

/** Number of hits that each group returns for a query. The examples have at
    most 47 groups, so an answer with 100 hits has room for the hits of all. */
inline constexpr std::uint32_t hits_per_group = 2;

/** Returns the hash that the ids of all hits of a query carry. */
std::uint64_t hash_query(std::string_view query) noexcept;

/** Returns one hit. Its id and its score depend only on the arguments. */
standin_hit make_hit(
    std::string_view query,
    std::uint64_t snapshot,
    std::string_view service,
    std::uint32_t partition,
    std::uint32_t position);

/** Returns the hits of one group for a query, at most hits_per_group, by
    descending score. */
std::vector<standin_hit> make_hits(
    std::string_view query,
    std::uint64_t snapshot,
    std::string_view service,
    std::uint32_t partition,
    std::uint32_t limit);

/** Returns the origin that the id of a hit states, or nothing if the id
    does not have the form that make_hit gives. */
std::optional<hit_origin> parse_hit_id(std::string_view id);

} // namespace turmericlane::standins
