#pragma once

#include "../http/http_message.h"
#include "../http/protocol_names.h"

#include <turmericlane_forwarding/engine/attempt_result.h>

#include <optional>

namespace turmericlane
{

/** Reads the load from a header field: running, waiting, slots.
    @returns nothing if the text is anything else */
std::optional<searcher_load> parse_load(std::string_view text);

/** True if an answer belongs to a request: it echoes its id or none. */
bool belongs_to(
    const server_response& response,
    const protocol_names& names,
    std::string_view request_id);

/** Classifies an answer of a searcher.
    @param part  it is one part of many: anything but a signed success with a
                 plain body is a failure */
attempt_result
read_answer(server_response&& response, const protocol_names& names, bool part);

} // namespace turmericlane
