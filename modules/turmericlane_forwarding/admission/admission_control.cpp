#include "admission_control.h"

#include <algorithm>

namespace turmericlane
{

namespace
{

using namespace std::chrono_literals;

/** Longest wait of a request of the most urgent rank, as a share of its
    target. */
constexpr double max_urgent_wait_share = 0.6;
/** Longest wait of a rank, as a share of that of the next more urgent one. */
constexpr double rank_wait_factor = 0.75;
constexpr auto min_retry_after = 50ms;
constexpr auto max_retry_after = 1000ms;

} // namespace

duration admission_control::max_wait(const route& matched_route)
{
    auto share = max_urgent_wait_share;
    for (std::uint32_t i = 0; i < matched_route.rank; ++i)
        share *= rank_wait_factor;
    return std::chrono::duration_cast<duration>(
        matched_route.target_latency * share);
}

duration admission_control::retry_after(
    const route& matched_route, const instance_load& load) const
{
    const auto wait = load.lag + load.queue_wait;
    if (wait <= max_wait(matched_route) &&
        load.lag + load.searcher_wait <= load.max_shared_wait)
        return duration::zero();
    return std::clamp<duration>(wait, min_retry_after, max_retry_after);
}

} // namespace turmericlane
