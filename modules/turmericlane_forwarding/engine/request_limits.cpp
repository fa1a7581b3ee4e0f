#include "request_limits.h"

#include <algorithm>

namespace turmericlane
{

namespace
{

using namespace std::chrono_literals;

/** Time for building an answer and for handling it at both ends, without the
    round trip to the caller. */
constexpr auto handling_time = 4ms;
/** Round-trip time that is assumed where none was measured. */
constexpr auto assumed_travel_time = 3ms;
/** Limit of the round-trip time as a share of the target; longer measured ones
    are mostly temporary delays. */
constexpr double max_travel_share = 0.3;
/** Share of the time left that is reserved for the way back to the caller. */
constexpr double deadline_margin_share = 0.04;

duration scale(duration time, double factor)
{
    return std::chrono::duration_cast<duration>(time * factor);
}

/** Returns the part of the target that is needed for the way to the caller and
    the handling of the answer. */
duration reply_margin(const forward_request& request)
{
    const auto has_travel_time = request.travel_time > duration::zero();
    const auto travel =
        has_travel_time ? request.travel_time : assumed_travel_time;
    const auto max_travel =
        scale(request.matched_route->target_latency, max_travel_share);
    return std::min<duration>(travel, max_travel) + handling_time;
}

} // namespace

answer_limits limits_of(const forward_request& request)
{
    const auto& matched_route = *request.matched_route;
    const auto max_wait =
        request.time_left - scale(request.time_left, deadline_margin_share);
    answer_limits limits;
    limits.min_coverage = matched_route.min_coverage;
    limits.timeout = std::min(max_wait, matched_route.timeout);
    limits.target_time = std::min(
        limits.timeout, matched_route.target_latency - reply_margin(request));
    return limits;
}

} // namespace turmericlane
