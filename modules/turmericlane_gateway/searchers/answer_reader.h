#pragma once

#include "../http/http_message.h"
#include "../http/protocol_names.h"

#include <turmericlane_forwarding/engine/attempt_result.h>

#include <optional>

namespace turmericlane
{

/** Parses a searcher's load from a header field of the form
    "running,waiting,slots" or "running,waiting,slots,time", where the time is
    that of work on its host in percent of the usual time. Further figures are
    ignored.
    @returns nothing if the text has any other form */
std::optional<searcher_load> parse_load(std::string_view text);

/** What an answer says about its searcher, whichever request it belongs to. */
struct searcher_statement
{
    /** True if the searcher is leaving. */
    bool is_leaving = false;
    /** Time for which the searcher wants no requests from this instance; zero
        if it did not say so. */
    duration quiet_time{};
    /** Time for which the searcher is still cold; zero if it did not say so. */
    duration warm_up_time{};
    /** Name of a field whose value could not be used; empty if there is
        none. */
    std::string_view odd_field;
};

/** Reads the statement of an answer about its searcher. A quiet time is at most
    a minute, and a warm-up time at most an hour, so that one odd value cannot
    hide a searcher for longer.
    @param status  status of the answer
    @param names   must outlive the result */
searcher_statement read_statement(
    unsigned status,
    const boost::beast::http::fields& fields,
    const protocol_names& names);

/** Whose answer was received on a connection. */
enum class answer_owner : std::uint8_t
{
    /** The open request's: it echoes the request's id. */
    request,
    /** Not known, because it echoes no id. */
    unknown,
    /** Another request's. */
    another_request
};

/** Returns whether an answer belongs to the open request. */
answer_owner find_owner(
    const server_response& response,
    const protocol_names& names,
    std::string_view request_id);

/** Classifies the answer of a searcher.
    @param is_part  true for the answer to a sub-request: anything but a signed
                    success without a content encoding is a failure */
attempt_result read_answer(
    server_response&& response, const protocol_names& names, bool is_part);

} // namespace turmericlane
