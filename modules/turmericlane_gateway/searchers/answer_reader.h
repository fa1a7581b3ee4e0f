#pragma once

#include "../http/http_message.h"
#include "../http/protocol_names.h"

#include <turmericlane_forwarding/engine/attempt_result.h>

#include <optional>

namespace turmericlane
{

/** Parses a searcher's load from a header field of the form
    "running,waiting,slots".
    @returns nothing if the text has any other form */
std::optional<searcher_load> parse_load(std::string_view text);

/** True if the answer belongs to the request: it echoes the request's id or
    carries no id. */
bool is_answer_to(
    const server_response& response,
    const protocol_names& names,
    std::string_view request_id);

/** Classifies the answer of a searcher.
    @param is_part  true for the answer to a sub-request: anything but a signed
                    success without a content encoding is a failure */
attempt_result read_answer(
    server_response&& response, const protocol_names& names, bool is_part);

} // namespace turmericlane
