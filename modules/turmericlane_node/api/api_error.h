#pragma once

#include <turmericlane_core/turmericlane_core.h>

#include <string>
#include <string_view>

namespace turmericlane
{

/** A refusal as the HTTP interface returns it. */
struct api_error
{
    verdict error_verdict;
    /** Text that names the invalid field or the exceeded limit. */
    std::string detail;
    /** The caller's id of the request; empty if it could not be read. */
    std::string caller_request_id;
};

/** Returns the HTTP status for a verdict: 200 for an answer, 4xx for errors of
    the request, 503 for refusals due to the state of the instance, 504 for
    missed deadlines. */
int http_status_of(verdict request_verdict) noexcept;

/** Returns the JSON text of a refusal: verdict, reason, detail, request_id. */
std::string to_json(const api_error& error);

/** Returns a refusal with the verdict not_run. */
api_error make_refusal(
    reason cause, std::string detail, std::string_view caller_request_id = {});

} // namespace turmericlane
