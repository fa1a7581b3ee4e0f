#pragma once

#include "../searchers/searcher.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace turmericlane
{

/** How an attempt at a searcher ended. */
enum class attempt_outcome : std::uint8_t
{
    /** A complete, signed answer. */
    answered,
    /** The searcher answered with a failure of its own; it has run. */
    server_error,
    /** The searcher has not run the request: it was full or it was too late. */
    rejected,
    /** Another searcher has the address; the request has not run. */
    misdirected,
    /** No byte of the request was sent. */
    not_sent,
    /** The searcher closed a new connection before the request was sent: it has
        too many. */
    turned_away,
    /** The searcher's host did not acknowledge the request: it is down or cut
        off. The request may have run if only the acknowledgement was lost. */
    unacknowledged,
    /** No usable answer; the request may have run. */
    broken
};

/** Name for logs. */
std::string_view to_string(attempt_outcome value) noexcept;

/** An answer of a searcher as it is passed on. */
struct searcher_answer
{
    unsigned status = 0;
    /** Without those that concern one connection only. */
    std::vector<std::pair<std::string, std::string>> headers;
    /** The searcher's signature of the answer; empty if it has none. */
    std::string signature;
    std::string body;
};

/** An attempt's end. */
struct attempt_result
{
    attempt_outcome outcome = attempt_outcome::broken;
    searcher_answer answer;
    std::optional<searcher_load> load;
};

} // namespace turmericlane
