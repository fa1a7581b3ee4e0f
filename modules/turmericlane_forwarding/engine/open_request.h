#pragma once

#include "forward_request.h"

#include <vector>

namespace turmericlane
{

/** An attempt of an open request, or a sub-request that has none at present.

    @see open_request
*/
struct open_attempt
{
    std::string service;
    /** Empty if the sub-request was not sent yet. */
    std::string searcher;
    /** As in missing_part; "running" for an attempt in flight. */
    std::string_view state;
    /** Time since the attempt was sent. */
    duration age{};
    /** Time since the searcher last answered any request, at most the age: a
        shorter time than the age means that the searcher is at work. */
    duration silence{};
};

/** A request without an answer, as it is written to the log when the instance
    ends.

    @see forward_engine::open_requests
*/
struct open_request
{
    request_handle id = 0;
    duration age{};
    /** How much longer the request may take; negative if that has passed. */
    duration time_left{};
    /** Attempts sent so far. */
    std::uint32_t attempts_sent = 0;
    /** The first few attempts and sub-requests without an answer. */
    std::vector<open_attempt> attempts;
};

} // namespace turmericlane
