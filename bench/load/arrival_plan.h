#pragma once

#include "load_options.h"

#include <turmericlane_bundle/turmericlane_bundle.h>

namespace turmericlane::load
{

/** How a booking is repeated. */
enum class booking_mode
{
    /** It is sent once. */
    once,
    /** It is sent again to the same instance after the reply. */
    repeat,
    /** It is sent again to another instance after the reply. */
    repeat_elsewhere,
    /** It is sent to another instance at the same time. */
    concurrent,
    /** Its ticket is sent again with another payload after the reply. */
    other_payload
};

/** Number of booking modes, which are used in turn. */
inline constexpr std::uint64_t booking_mode_count = 5;

/** One planned request. */
struct arrival
{
    /** Time since the start of the run. */
    std::chrono::nanoseconds offset{0};
    rank request_rank = rank::ordinary;
    bool is_booking = false;
    booking_mode mode = booking_mode::once;
    /** Services of a search; the one service of a booking. */
    std::vector<std::string> services;
    std::chrono::milliseconds deadline{0};
    /** Unique query text of a search or unique key of a booking. */
    std::string text;
    /** Index of the caller that sends the request. */
    std::size_t caller_index = 0;
};

/** Returns the requests of a run as Poisson arrivals in order of time. Urgent
    searches use the bookable services of the bundle, the others all services.
 */
std::vector<arrival>
plan_arrivals(const load_options& settings, const bundle& configuration);

} // namespace turmericlane::load
