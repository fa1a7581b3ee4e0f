#include "answer_rule.h"

#include <algorithm>

namespace turmericlane
{

namespace
{

/** A late answer waits for the missing parts up to this multiple of the time
    in which it would have been in time. */
constexpr int late_multiple = 2;

/** Coverages are quotients; equal ones may differ by rounding. */
constexpr double rounding = 1e-9;

bool covers(std::size_t parts, std::size_t shards, double least)
{
    if (parts == 0)
        return false;
    const auto share = static_cast<double>(parts) / static_cast<double>(shards);
    return share + rounding >= least;
}

duration late_answer(const answer_limits& limits)
{
    return std::min(limits.answer_within * late_multiple, limits.give_up_after);
}

} // namespace

gather_decision
decide(const gather_progress& progress, const answer_limits& limits)
{
    const auto possible = progress.shards - progress.failed;
    if (!covers(possible, progress.shards, limits.min_coverage))
        return gather_decision::fail;
    if (progress.arrived == possible)
        return gather_decision::answer;
    const auto enough =
        covers(progress.arrived, progress.shards, limits.min_coverage);
    if (progress.elapsed >= limits.give_up_after)
        return enough ? gather_decision::answer : gather_decision::fail;
    if (!enough)
        return gather_decision::wait;
    const auto in_time =
        progress.elapsed >= limits.answer_within &&
        progress.elapsed < limits.answer_within + limits.answer_within / 8;
    if (in_time || progress.elapsed >= late_answer(limits))
        return gather_decision::answer;
    return gather_decision::wait;
}

duration next_decision(duration elapsed, const answer_limits& limits)
{
    if (elapsed < limits.answer_within)
        return std::min(limits.answer_within, limits.give_up_after);
    if (elapsed < late_answer(limits))
        return late_answer(limits);
    return limits.give_up_after;
}

} // namespace turmericlane
