#pragma once

#include <turmericlane_decisions/turmericlane_decisions.h>
#include <turmericlane_net/turmericlane_net.h>

#include <optional>
#include <string_view>

namespace turmericlane
{

/** Returns the request id that a backend server gets for an attempt:
    "nonce-counter-service-partition-attempt". */
std::string backend_request_id(const backend_request& request, attempt_id id);

/** Makes the HTTP request of an attempt, without deadline and callbacks. */
backend_job encode_search(const backend_request& request, attempt_id id);

/** Decodes the result of an attempt: status, snapshot, epoch, range of served
    snapshots and hits. */
backend_reply decode_search(const exchange_result& exchange);

/** Decodes the reply of a load endpoint.
    @returns nullopt if it is malformed */
std::optional<load_report>
decode_load(searcher_id server, std::string_view body);

/** Returns why a backend server rejected a request with HTTP 503:
    shed_by_server or server_draining. */
reason rejection_reason(std::string_view body);

} // namespace turmericlane
