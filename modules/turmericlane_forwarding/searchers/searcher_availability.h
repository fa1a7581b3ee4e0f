#pragma once

#include "../routing/region_map.h"
#include "searcher_registry.h"

#include <random>
#include <span>
#include <string>

namespace turmericlane
{

/** Tells which searchers may serve the requests of a route, and when one of
    them is usable.

    A searcher is usable if it is not ejected and has not asked for a quiet
   time. Routes with home regions use only searchers of these regions.

    Decision code without input or output. Not thread-safe.

    @see searcher_registry, forward_engine
*/
class searcher_availability
{
public:
    /** @param time       clock; must outlive the object
        @param searchers  must outlive the object
        @param regions    region of each data centre
        @param seed       of the random additions to times of return */
    searcher_availability(
        const clock& time,
        const searcher_registry& searchers,
        region_map regions,
        std::uint64_t seed);

    /** Returns the searchers of a service that may get requests of a route. The
        result is valid until the next call or change of the registry. */
    std::span<const std::shared_ptr<searcher>>
    candidates(const route& served_route, const std::string& service) const;

    /** Returns the earliest time at which a candidate that is not ejected wants
        requests; time_point::max() if there is none. */
    time_point
    usable_time(const route& served_route, const std::string& service) const;

    /** Returns the next time at which a candidate that wants no requests now
        wants some again, also if it is ejected; time_point::max() if none is
        known. No event reports that time. */
    time_point
    next_quiet_end(const route& served_route, const std::string& service) const;

    /** Returns the number of the route's shards that are usable at a time. */
    std::size_t
    count_usable_shards(const route& served_route, time_point latest) const;

    /** Returns the expected time until every service that a request needs has
        a usable searcher again, with a random addition that spreads the
        callers' return.
        @param service  service of the request; null if it is gathered */
    duration
    time_until_searcher(const route& served_route, const std::string* service);

private:
    /** Returns when a service has a usable searcher again. */
    time_point expected_return(
        const route& served_route, const std::string& service) const;

    const clock& clock_;
    const searcher_registry& searchers_;
    region_map regions_;
    std::mt19937_64 random_;
    /** Result of candidates() for a route with home regions. */
    mutable std::vector<std::shared_ptr<searcher>> home_candidates_;
};

} // namespace turmericlane
