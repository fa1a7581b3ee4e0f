#include "hedge_timing.h"

#include <algorithm>

namespace turmericlane
{

namespace
{

constexpr double overdue_percentile = 0.94;
/** An attempt is overdue no earlier than at this multiple of the median. */
constexpr double least_multiple = 1.6;
/** Time that a hedge is given, as a multiple of the median. */
constexpr double hedge_multiple = 2.0;
/** Part of the target that is waited while no latencies are known. */
constexpr double unknown_share = 0.4;

duration scaled(duration span, double by)
{
    return std::chrono::duration_cast<duration>(span * by);
}

} // namespace

hedge_timing::hedge_timing()
{
    window_.set_percentile(overdue_percentile);
}

void hedge_timing::on_latency(duration took)
{
    window_.add(took);
}

duration hedge_timing::usual() const
{
    return window_.has_enough_samples() ? window_.median() : duration::zero();
}

duration hedge_timing::delay(duration answer_within) const
{
    if (!window_.has_enough_samples())
        return scaled(answer_within, unknown_share);
    const auto earliest = scaled(window_.median(), least_multiple);
    const auto latest =
        answer_within - scaled(window_.median(), hedge_multiple);
    return std::max(earliest, std::min(window_.upper_percentile(), latest));
}

} // namespace turmericlane
