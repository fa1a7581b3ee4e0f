#pragma once

#include <turmericlane_core/turmericlane_core.h>
#include <turmericlane_decisions/owner/latency_window.h>

namespace turmericlane
{

/** Decides when an attempt of a route counts as overdue and is hedged.

    The delay is a high percentile of the route's recent latencies, but short
    enough that a hedge of usual speed is still answered within the target.
    Hedges keep answers in time while a single searcher pauses, which lasts
    longer than the targets.

    @see latency_window
*/
class hedge_timing
{
public:
    hedge_timing();

    /** Call when an attempt was answered after the given time. */
    void on_latency(duration latency);

    /** Returns the median latency; zero if not known yet. */
    duration median_latency() const;

    /** Returns a latency that few attempts exceed; zero if not known yet. */
    duration slow_latency() const;

    /** Returns the time after which an attempt is overdue.
        @param target_time  time from the request's arrival within which its
                            answer must be sent */
    duration hedge_delay(duration target_time) const;

private:
    latency_window latencies_;
};

} // namespace turmericlane
