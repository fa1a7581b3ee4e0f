#pragma once

#include <cstdint>

namespace turmericlane
{

/** Numbers of calls of the store and of exchanges of its items with the peers
    since the start.

    @see store_follower
*/
struct store_call_counts
{
    /** Calls that were started. */
    std::uint64_t pages = 0;
    std::uint64_t watches = 0;
    /** Failed calls by cause. Those for which the store no longer had the
        changes are counted as history losses only. */
    std::uint64_t unreachable = 0;
    std::uint64_t refused = 0;
    std::uint64_t malformed = 0;
    std::uint64_t history_losses = 0;
    /** Answers with a revision below the one held when the call started. */
    std::uint64_t answers_behind = 0;
    /** Items in answers to watches that changed nothing here, because they are
        known or seem older than what is held. */
    std::uint64_t unchanged_items = 0;
    /** Pulls that were started, and those of them that failed. */
    std::uint64_t pulls = 0;
    std::uint64_t failed_pulls = 0;
    /** Messages of peers that were dropped, because they are known or continue
        a revision that this instance does not hold. */
    std::uint64_t ignored_feeds = 0;
};

} // namespace turmericlane
