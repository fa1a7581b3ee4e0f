#pragma once

#include "../model/route_configuration.h"

#include <turmericlane_core/turmericlane_core.h>

namespace turmericlane
{

/** How busy this instance is. */
struct instance_load
{
    /** Requests that are waiting for a searcher or an answer. */
    std::size_t in_flight = 0;
    /** How late timers fire: the time that work waits for the processor. */
    duration lag{};
    /** Time after which a part of the request is expected to find a searcher
        with room. */
    duration queue_wait{};
};

/** Decides which requests are refused before anything is sent.

    Answers the load of a burst. A request is refused if it cannot be answered
    within its target because of the work that waits already; less urgent ranks
    are refused first, so that the urgent ones find room. One that comes back
    after a refusal is a new request with its own target.

    @see forward_engine
*/
class admission_control
{
public:
    /** Decides on a request.
        @returns the time after which there will be room, or zero if the request
                 is admitted */
    duration
    retry_after(const route& matched_route, const instance_load& load) const;
};

} // namespace turmericlane
