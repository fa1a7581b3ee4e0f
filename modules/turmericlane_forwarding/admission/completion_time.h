#pragma once

#include "../model/route_configuration.h"

#include <turmericlane_core/turmericlane_core.h>

namespace turmericlane
{

/** What is known of the time that a request takes. */
struct work_estimate
{
    /** The request gets an answer after this time in any case. */
    duration timeout{};
    /** Expected time until it finds a searcher below its limit; the longest one
        over its sub-requests. */
    duration queue_wait{};
    /** Latency that few attempts of the route exceed; zero if not known. */
    duration slow_latency{};
};

/** Returns the time from a request's arrival within which it is almost certain
    to be answered. An instance that stops takes no request that lasts longer
    than itself: the caller is better off at another instance.

    @see forward_engine::prepare_stop
*/
duration
completion_time(const route& matched_route, const work_estimate& estimate);

} // namespace turmericlane
