#pragma once

#include <turmericlane_core/turmericlane_core.h>

#include <cstddef>

namespace turmericlane
{

/** State of a gathered request: a request with a sub-request to each shard. */
struct gather_progress
{
    std::size_t shard_count = 0;
    /** Shards whose answer has arrived. */
    std::size_t parts_arrived = 0;
    /** Shards whose answer can no longer arrive. */
    std::size_t parts_failed = 0;
    /** Time since the request's arrival. */
    duration elapsed_time{};
};

/** Limits of a gathered request. */
struct answer_limits
{
    /** Share of the shards that an answer must include, 0 to 1. */
    double min_coverage = 1.0;
    /** Time from the request's arrival within which an answer is in time. */
    duration target_time{};
    /** Time from the request's arrival after which it is given up. */
    duration timeout{};
};

/** What to do with a gathered request. */
enum class gather_decision : std::uint8_t
{
    wait,
    /** Answer with the parts that have arrived. */
    answer,
    /** Fail the request, because too few parts can arrive. */
    fail
};

/** Decides whether a gathered request is answered now, waits for more parts, or
    fails.

    At the target time, an incomplete answer with at least the minimum coverage
    is sent, because most of the parts in time serve a caller better than all
    of them late. If the coverage reaches the minimum only after the target, the
    request waits for all parts, for as long again as the target.
*/
gather_decision
decide_gather(const gather_progress& progress, const answer_limits& limits);

/** Returns when the result of decide_gather may change next without a further
    part, as a time from the request's arrival.
    @param elapsed_time  since the request's arrival */
duration next_decision_time(duration elapsed_time, const answer_limits& limits);

} // namespace turmericlane
