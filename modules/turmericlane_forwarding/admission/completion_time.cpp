#include "completion_time.h"

#include <algorithm>

namespace turmericlane
{

namespace
{

/** Room for a retry, or for a searcher that has just become slower. */
constexpr double latency_multiple = 2.0;
/** A gathered request waits for missing parts up to this multiple of its
    target. */
constexpr double gather_target_multiple = 2.0;

} // namespace

duration
completion_time(const route& matched_route, const work_estimate& estimate)
{
    // Without latencies, the target tells what operators consider usual.
    auto work_time = matched_route.target_latency;
    if (estimate.slow_latency > duration::zero())
        work_time = std::chrono::duration_cast<duration>(
            estimate.slow_latency * latency_multiple);
    if (matched_route.is_gathered())
        work_time = std::max(
            work_time,
            std::chrono::duration_cast<duration>(
                matched_route.target_latency * gather_target_multiple));
    return std::min(estimate.timeout, estimate.queue_wait + work_time);
}

} // namespace turmericlane
