#pragma once

#include "api_error.h"

#include <turmericlane_bundle/turmericlane_bundle.h>

#include <chrono>
#include <string>
#include <string_view>

namespace turmericlane
{

/** Validated body of a booking.

    @see booking_request
*/
struct booking_form
{
    /** Text form of the single-use ticket. */
    std::string ticket;
    std::string service;
    /** Selects the group, by its hash in the partition map. */
    std::string key;
    /** Opaque content for the backend server. */
    std::string payload;
    rank request_rank = rank::urgent;
    std::chrono::milliseconds time_left{0};
};

/** Parses the body of POST /v1/bookings.
    @param body             JSON: ticket, service, key, payload, rank,
                            deadline_ms and optionally request_id
    @param bundle_in_force  bundle whose bookable services may be named */
result<booking_form, api_error>
parse_booking(std::string_view body, const bundle& bundle_in_force);

/** Returns the JSON text of a booking's outcome.
    @param booking_verdict  verdict with its reason
    @param answer           answer of the backend server; empty unless the
                            booking ran
    @param ticket           the ticket, returned as request_id */
std::string booking_json(
    verdict booking_verdict, std::string_view answer, std::string_view ticket);

} // namespace turmericlane
