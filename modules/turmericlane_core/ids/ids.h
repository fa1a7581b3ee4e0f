#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace turmericlane
{

/** Identifies a query or booking in the fleet for as long as its instance
    lives. */
struct query_id
{
    /** Start-up nonce of the instance that issued the id. */
    std::uint64_t nonce = 0;
    /** Counter within that instance. */
    std::uint64_t counter = 0;

    friend auto operator<=>(const query_id&, const query_id&) = default;
};

/** Identifies the group of replicas of one partition of a service. */
struct group_id
{
    /** Service id from the bundle; the same in every version of it. */
    std::uint32_t service = 0;
    /** Partition number from 0. */
    std::uint32_t partition = 0;

    friend auto operator<=>(const group_id&, const group_id&) = default;
};

/** Identifies a backend server; the id is stated in the bundle and is the same
    in every version of it. */
using searcher_id = std::uint32_t;

/** Index of an instance from its settings: 0 to max_instances - 1. */
using ordinal = std::uint32_t;

} // namespace turmericlane

template <>
struct std::hash<turmericlane::query_id>
{
    std::size_t operator()(const turmericlane::query_id& id) const noexcept
    {
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
