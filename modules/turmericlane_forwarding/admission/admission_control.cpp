#include "admission_control.h"

#include <algorithm>

namespace turmericlane
{

namespace
{

using namespace std::chrono_literals;

/** Share of its target that a request of the most urgent rank may wait. */
constexpr double urgent_wait_share = 0.6;
/** Each rank may wait for this share of what the next more urgent one may. */
constexpr double rank_step = 0.75;
constexpr auto shortest_retry_after = 50ms;
constexpr auto longest_retry_after = 1000ms;

} // namespace

duration
admission_control::refuse_for(const route& of, const instance_load& load) const
{
    auto share = urgent_wait_share;
    for (std::uint32_t i = 0; i < of.rank; ++i)
        share *= rank_step;
    const auto wait = load.lag + load.queue_wait;
    const auto allowed =
        std::chrono::duration_cast<duration>(of.target * share);
    if (wait <= allowed)
        return duration::zero();
    return std::clamp<duration>(
        wait, shortest_retry_after, longest_retry_after);
}

} // namespace turmericlane
