#pragma once

#include <turmericlane_core/turmericlane_core.h>
#include <turmericlane_decisions/owner/latency_window.h>

namespace turmericlane
{

/** When an attempt of a route counts as overdue and is hedged.

    The delay is a high percentile of the route's recent latencies, but early
    enough that a hedge of usual speed still arrives within the target. This
    answers pauses of single searchers, which last longer than the targets.

    @see latency_window
*/
class hedge_timing
{
public:
    hedge_timing();

    /** An attempt was answered after that time. */
    void on_latency(duration latency);

    /** Median latency; zero if not known yet. */
    duration median_latency() const;

    /** Time after which an attempt is overdue.
        @param answer_within  time from the request's arrival in which its
                              answer has to leave */
    duration hedge_delay(duration target_time) const;

private:
    latency_window latencies_;
};

} // namespace turmericlane
