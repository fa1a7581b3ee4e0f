#pragma once

#include "api_error.h"

#include <turmericlane_bundle/turmericlane_bundle.h>
#include <turmericlane_decisions/turmericlane_decisions.h>

namespace turmericlane
{

/** Parses the body of POST /v1/search.
    @param body             JSON: request_id, services, query, rank,
                            deadline_ms, limit
    @param bundle_in_force  bundle whose services may be named
    @param now              time that deadline_ms counts from */
result<search_request, api_error> parse_search(
    std::string_view body, const bundle& bundle_in_force, time_point now);

/** Returns the JSON text of an answer or a refusal.
    @param answer           answer of the search_coordinator
    @param bundle_in_force  bundle that contains the names of the services */
std::string to_json(const search_answer& answer, const bundle& bundle_in_force);

} // namespace turmericlane
