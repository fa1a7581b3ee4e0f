#pragma once

#include <turmericlane_core/turmericlane_core.h>

#include <cstddef>

namespace turmericlane
{

/** State of a gathered request. */
struct gather_progress
{
    std::size_t shard_count = 0;
    /** Parts that are in. */
    std::size_t parts_arrived = 0;
    /** Parts that can't arrive any more. */
    std::size_t parts_failed = 0;
    /** Time since the request's arrival. */
    duration elapsed_time{};
};

/** Figures of the route that decide on an answer. */
struct answer_limits
{
    /** Share of the shards that an answer must include, 0 to 1. */
    double min_coverage = 1.0;
    /** Time from the request's arrival in which an answer is in time. */
    duration target_time{};
    /** Time from the request's arrival at which it is given up. */
    duration timeout{};
};

/** What to do with a gathered request. */
enum class gather_decision : std::uint8_t
{
    wait,
    /** Answer with the parts that are in. */
    answer,
    /** Too few parts can arrive. */
    fail
};

/** Decides between a timely answer with parts missing and a complete one that
    is late.

    A caller with a target is served better by most of the parts in time than by
    all of them late, if the route's minimum allows it. Once the target has
    passed, completeness comes first, for as long again as the target.
*/
gather_decision
decide_gather(const gather_progress& progress, const answer_limits& limits);

/** When decide changes its result without a further part; measured from the
    request's arrival. */
duration next_decision_time(duration elapsed_time, const answer_limits& limits);

} // namespace turmericlane
