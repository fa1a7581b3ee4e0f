#include "answer_rule.h"

#include <algorithm>

namespace turmericlane
{

namespace
{

/** An answer that missed the target waits for missing parts up to this multiple
    of the target time. */
constexpr int late_multiple = 2;

/** A check up to this fraction of the target time late counts as on time. */
constexpr int late_check_divisor = 8;

/** Coverages are quotients: equal ones may differ by a rounding error. */
constexpr double rounding_tolerance = 1e-9;

bool covers(
    std::size_t part_count, std::size_t shard_count, double min_coverage)
{
    if (part_count == 0)
        return false;
    const auto coverage =
        static_cast<double>(part_count) / static_cast<double>(shard_count);
    return coverage + rounding_tolerance >= min_coverage;
}

duration late_answer_time(const answer_limits& limits)
{
    return std::min(limits.target_time * late_multiple, limits.timeout);
}

} // namespace

gather_decision
decide_gather(const gather_progress& progress, const answer_limits& limits)
{
    const auto possible_parts = progress.shard_count - progress.parts_failed;
    if (!covers(possible_parts, progress.shard_count, limits.min_coverage))
        return gather_decision::fail;
    if (progress.parts_arrived == possible_parts)
        return gather_decision::answer;
    const auto has_enough = covers(
        progress.parts_arrived, progress.shard_count, limits.min_coverage);
    if (progress.elapsed_time >= limits.timeout)
        return has_enough ? gather_decision::answer : gather_decision::fail;
    if (!has_enough)
        return gather_decision::wait;
    const auto is_in_time =
        progress.elapsed_time >= limits.target_time &&
        progress.elapsed_time <
            limits.target_time + limits.target_time / late_check_divisor;
    if (is_in_time || progress.elapsed_time >= late_answer_time(limits))
        return gather_decision::answer;
    return gather_decision::wait;
}

duration next_decision_time(duration elapsed_time, const answer_limits& limits)
{
    if (elapsed_time < limits.target_time)
        return std::min(limits.target_time, limits.timeout);
    if (elapsed_time < late_answer_time(limits))
        return late_answer_time(limits);
    return limits.timeout;
}

} // namespace turmericlane
