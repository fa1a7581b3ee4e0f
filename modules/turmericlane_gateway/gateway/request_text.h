#pragma once

#include "../http/http_message.h"
#include "../searchers/searcher_pool.h"

#include <optional>

namespace turmericlane
{

/** Turns a caller's request into the form in which searchers get it: method,
    target and body unchanged, without the fields that concern one connection.

    @param part  the answer is one part of many */
outgoing_request make_outgoing(
    const caller_request& request, const protocol_names& names, bool part);

/** Reads the time that a caller waits.
    @returns nothing if the field is absent or no whole number */
std::optional<duration>
read_time_left(const caller_request& request, const protocol_names& names);

/** Fields of the answer to a forwarded request, as complete lines. */
std::string
answer_fields(const forward_result& result, const protocol_names& names);

/** Fields of a refusal that tells the caller when to come back. */
std::string retry_fields(duration retry_after);

} // namespace turmericlane
