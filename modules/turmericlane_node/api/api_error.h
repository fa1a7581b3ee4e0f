#pragma once

#include <turmericlane_core/turmericlane_core.h>

#include <string>
#include <string_view>

namespace turmericlane
{

/** A refusal as the HTTP interface states it. */
struct api_error
{
    verdict error_verdict;
    /** Names the field or the limit at fault. */
    std::string detail;
    /** The caller's id as far as it could be read. */
    std::string caller_request_id;
};

/** Returns the HTTP status for a verdict: 200 for an answer, 4xx for faults of
    the request, 503 for refusals by state, 504 for deadlines. */
int http_status_of(verdict request_verdict) noexcept;

/** Returns the JSON text of a refusal: verdict, reason, detail, request_id. */
std::string to_json(const api_error& error);

/** Returns a refusal with not_run for a fault of the request. */
api_error make_refusal(
    reason cause, std::string detail, std::string_view caller_request_id = {});

} // namespace turmericlane
