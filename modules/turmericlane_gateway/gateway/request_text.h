#pragma once

#include "../http/http_message.h"
#include "../searchers/searcher_pool.h"

#include <optional>

namespace turmericlane
{

/** Turns a caller's request into the form in which it is sent to searchers. The
    method, target and body stay; header fields that concern only the caller's
    connection or differ between attempts are left out.

    @param is_part  true if the request is split into sub-requests */
outgoing_request make_outgoing_request(
    const caller_request& request, const protocol_names& names, bool is_part);

/** Reads from the header how long the caller still waits for the answer.
    @returns nothing if the field is absent or not a whole number */
std::optional<duration>
read_time_left(const caller_request& request, const protocol_names& names);

/** Returns the header fields of the answer to a forwarded request, as complete
    lines. */
std::string
answer_fields(const forward_result& result, const protocol_names& names);

/** Returns the header field that tells a refused caller when to retry, as a
    complete line. */
std::string retry_fields(duration retry_after);

} // namespace turmericlane
