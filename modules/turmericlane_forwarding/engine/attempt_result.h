#pragma once

#include "../searchers/searcher.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace turmericlane
{

/** Outcome of an attempt at a searcher. */
enum class attempt_outcome : std::uint8_t
{
    /** The searcher sent a complete, signed answer. */
    answered,
    /** The searcher answered with an error of its own; the request has run. */
    server_error,
    /** The searcher did not run the request: it was full, or the time left was
        too short. */
    rejected,
    /** Another searcher answers at the address; the request has not run. */
    misdirected,
    /** No byte of the request was sent. */
    not_sent,
    /** The searcher closed a new connection before the request was sent,
        because it has too many. */
    turned_away,
    /** The searcher's host did not acknowledge the data of the request: it is
        down or not reachable. The request may have run if only the
        acknowledgement was lost. */
    unacknowledged,
    /** There was no usable answer; the request may have run. */
    broken
};

/** Returns the name for logs. */
std::string_view to_string(attempt_outcome value) noexcept;

/** Answer of a searcher that is passed on to the caller. */
struct searcher_answer
{
    unsigned status = 0;
    /** Without the headers that concern one connection only. */
    std::vector<std::pair<std::string, std::string>> headers;
    /** The searcher's signature of the answer; empty if it has none. */
    std::string signature;
    std::string body;
};

/** Result of an attempt. */
struct attempt_result
{
    attempt_outcome outcome = attempt_outcome::broken;
    searcher_answer answer;
    std::optional<searcher_load> load;
};

} // namespace turmericlane
