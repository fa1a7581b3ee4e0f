#include "hedge_timing.h"

#include <algorithm>

namespace turmericlane
{

namespace
{

constexpr double overdue_percentile = 0.85;
constexpr double slow_percentile = 0.98;
/** Smallest hedge delay, as a multiple of the median. */
constexpr double min_delay_multiple = 1.4;
/** Time left for the answer of a hedge, as a multiple of the median. */
constexpr double hedge_time_multiple = 2.0;
/** Hedge delay while no latencies are known, as a share of the target. */
constexpr double default_target_share = 0.4;

duration scale(duration time, double factor)
{
    return std::chrono::duration_cast<duration>(time * factor);
}

} // namespace

hedge_timing::hedge_timing()
{
    latencies_.set_percentile(overdue_percentile);
}

void hedge_timing::on_latency(duration latency)
{
    latencies_.add(latency);
}

duration hedge_timing::median_latency() const
{
    return latencies_.has_enough_samples() ? latencies_.median()
                                           : duration::zero();
}

duration hedge_timing::slow_latency() const
{
    return latencies_.has_enough_samples()
               ? latencies_.percentile(slow_percentile)
               : duration::zero();
}

duration hedge_timing::hedge_delay(duration target_time) const
{
    if (!latencies_.has_enough_samples())
        return scale(target_time, default_target_share);
    const auto min_delay = scale(latencies_.median(), min_delay_multiple);
    const auto max_delay =
        target_time - scale(latencies_.median(), hedge_time_multiple);
    return std::max(
        min_delay, std::min(latencies_.upper_percentile(), max_delay));
}

} // namespace turmericlane
