#pragma once

#include <turmericlane_decisions/turmericlane_decisions.h>
#include <turmericlane_net/turmericlane_net.h>

#include <optional>
#include <string_view>

namespace turmericlane
{

/** Returns the id that a backend server gets for a sub-request:
    "nonce-counter-service-partition-attempt". */
std::string backend_request_id(const backend_request& request, attempt_id id);

/** Makes the HTTP request of a sub-request, without deadline and callbacks. */
backend_job encode_search(const backend_request& request, attempt_id id);

/** Reads the end of a sub-request's exchange: status, snapshot, epoch, range
    of served snapshots and hits. */
backend_reply decode_search(const exchange_result& exchange);

/** Reads the reply of a load endpoint.
    @returns nothing if it is malformed */
std::optional<load_report>
decode_load(searcher_id server, std::string_view body);

/** Why a backend server refused with HTTP 503: shed_by_server or
    server_draining. */
reason rejection_reason(std::string_view body);

} // namespace turmericlane
