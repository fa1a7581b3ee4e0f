#include "api_error.h"

#include <nlohmann/json.hpp>

namespace turmericlane
{

int http_status_of(verdict request_verdict) noexcept
{
    if (request_verdict.result == outcome::ran)
        return 200;
    switch (request_verdict.cause)
    {
    case reason::bad_json:
    case reason::missing_field:
    case reason::bad_field:
    case reason::ticket_required:
    case reason::ticket_invalid:
    case reason::not_bookable:
        return 400;
    case reason::unknown_service:
    case reason::unknown_group:
        return 404;
    case reason::ticket_reused:
    case reason::ticket_expired:
        return 409;
    case reason::body_too_large:
        return 413;
    case reason::rank_limit:
    case reason::ticket_table_full:
        return 429;
    case reason::deadline_past:
    case reason::deadline_too_short:
    case reason::deadline_reached:
    case reason::queue_deadline:
        return 504;
    default:
        return 503;
    }
}

std::string to_json(const api_error& error)
{
    nlohmann::json object;
    object["verdict"] = to_string(error.error_verdict.result);
    object["reason"] = to_string(error.error_verdict.cause);
    object["detail"] = error.detail;
    object["request_id"] = error.caller_request_id;
    // A caller's id may contain invalid UTF-8, which must not cause an
    // exception.
    return object.dump(
        -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

api_error make_refusal(
    reason cause, std::string detail, std::string_view caller_request_id)
{
    return {
        verdict::refused(cause), std::move(detail),
        std::string(caller_request_id)};
}

} // namespace turmericlane
