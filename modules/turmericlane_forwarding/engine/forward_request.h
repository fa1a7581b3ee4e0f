#pragma once

#include "../routing/route_table.h"
#include "attempt_result.h"

namespace turmericlane
{

/** Identifies a request in flight within this process. */
using request_handle = std::uint64_t;

/** Identifies an attempt within this process. */
using attempt_handle = std::uint64_t;

/** A caller's request. */
struct forward_request
{
    request_handle id = 0;
    /** The version under which the request runs to its end. */
    std::shared_ptr<route_table> routes;
    /** Its route in that version. */
    const route* matched_route = nullptr;
    /** How long the caller waits from now. */
    duration time_left{};
    /** Time that the caller's request and its answer spend on the way; zero if
        not known. */
    duration travel_time{};
    /** The caller's id of the request, for logs. */
    std::string label;
};

/** Why a request was not answered. */
enum class forward_failure : std::uint8_t
{
    none,
    /** The work that waits already would make it late. */
    overloaded,
    /** No searcher of a service it needs is known. */
    no_searcher,
    /** The searchers refused it; it has not run. */
    searchers_full,
    /** All attempts failed. */
    attempts_failed,
    /** The deadline passed. */
    deadline
};

/** Name for logs and metrics. */
std::string_view to_string(forward_failure value) noexcept;

/** A shard that is missing in an answer, and why. */
struct missing_part
{
    std::string service;
    /** Searcher of the last attempt; empty if there was none. */
    std::string searcher;
    /** "waiting" for room, "running" still, "postponed" for want of budget, or
        "failed". */
    std::string_view state;
    /** Time since the last attempt was sent; zero if there was none. */
    duration attempt_age{};
};

/** The final result of a request. */
struct forward_result
{
    forward_failure failure = forward_failure::none;
    /** Whether the request may have been executed. */
    outcome execution = outcome::not_run;
    /** When the caller should come back; zero if not known. */
    duration retry_after{};
    /** The answer of a single searcher, or the merged body. */
    searcher_answer answer;
    /** Signatures of the merged parts. */
    std::vector<std::string> part_signatures;
    /** Shards that are missing in a merged answer. */
    std::size_t missing_parts = 0;
    /** The first few of them, or of the parts of a request that failed. */
    std::vector<missing_part> missing;
    /** Attempts that were sent. */
    std::uint32_t attempts = 0;
    /** Of these, hedges and retries. */
    std::uint32_t extra_attempts = 0;
};

/** What a forward_engine asks of its surroundings. Calls come from inside the
    engine's methods; the implementation must not call back before they return.

    @see forward_engine
*/
class forward_actions
{
public:
    virtual ~forward_actions() = default;

    /** Sends a request to a searcher; its end is reported by on_result.
        @param time_left  what the searcher is told */
    virtual void send(
        attempt_handle attempt,
        request_handle request,
        const std::shared_ptr<searcher>& target,
        duration time_left) = 0;

    /** Ends an attempt without an answer, by closing its connection. */
    virtual void abandon(attempt_handle attempt) = 0;

    /** Answers a request. */
    virtual void finish(request_handle request, forward_result&& result) = 0;
};

} // namespace turmericlane
