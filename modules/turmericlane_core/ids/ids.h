#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace turmericlane
{

/** Identifies a query or booking across all instances, for the lifetime of the
    process that issued the id. */
struct query_id
{
    /** Random number that the issuing instance drew when it started. */
    std::uint64_t nonce = 0;
    /** Number of the id among those that this instance issued. */
    std::uint64_t counter = 0;

    friend auto operator<=>(const query_id&, const query_id&) = default;
};

/** Identifies a group: the searchers that serve one partition of a service. */
struct group_id
{
    /** Service id from the bundle; the same in every bundle version. */
    std::uint32_t service = 0;
    /** Partition number, counted from 0. */
    std::uint32_t partition = 0;

    friend auto operator<=>(const group_id&, const group_id&) = default;
};

/** Identifies a searcher. The bundle states the id, which is the same in every
    bundle version. */
using searcher_id = std::uint32_t;

/** Index of an instance, from its settings: 0 to max_instances - 1. */
using ordinal = std::uint32_t;

} // namespace turmericlane

template <>
struct std::hash<turmericlane::query_id>
{
    std::size_t operator()(const turmericlane::query_id& id) const noexcept
    {
        // 2^64 divided by the golden ratio spreads consecutive counters.
        return id.nonce ^ (id.counter * 0x9e3779b97f4a7c15ULL);
    }
};

template <>
struct std::hash<turmericlane::group_id>
{
    std::size_t operator()(const turmericlane::group_id& id) const noexcept
    {
        return (std::size_t{id.service} << 32U) | id.partition;
    }
};
