#pragma once

#include "../model/route_configuration.h"

#include <turmericlane_core/turmericlane_core.h>

namespace turmericlane
{

/** Load of this instance. */
struct instance_load
{
    /** Requests that wait for a searcher or an answer. */
    std::size_t in_flight = 0;
    /** How late timers fire, as a measure of how long work waits for the
        processor. */
    duration lag{};
    /** Expected time until the request finds a searcher below its limit; the
        longest one over its sub-requests. */
    duration queue_wait{};
    /** Expected time for which the request waits at the searchers, behind the
        load that they report. */
    duration searcher_wait{};
    /** Sum of the lag and the wait at searchers above which the request is
        refused whatever its own target; duration::max() for none.
        @see rank_priority */
    duration max_shared_wait = duration::max();
};

/** Decides which requests are refused before anything is sent, which keeps
    answers in time during a burst.

    A request is refused if the waiting work would make its answer miss the
    target. Less urgent ranks are refused first, so that urgent requests are
    still admitted. A request that is sent again after a refusal counts as a new
    one with its own target.

    @see forward_engine
*/
class admission_control
{
public:
    /** Returns how long the work of a request of this route may wait, by its
       own target. */
    static duration max_wait(const route& matched_route);

    /** Returns the time after which a refused request may be sent again, or
        zero if the request is admitted. */
    duration
    retry_after(const route& matched_route, const instance_load& load) const;
};

} // namespace turmericlane
