#pragma once

#include "../routing/route_table.h"
#include "attempt_result.h"

namespace turmericlane
{

/** Identifies a request in flight within this process. */
using request_handle = std::uint64_t;

/** Identifies an attempt within this process. */
using attempt_handle = std::uint64_t;

/** A request of a caller. */
struct forward_request
{
    request_handle id = 0;
    /** Version of the configuration under which the request runs. */
    std::shared_ptr<route_table> routes;
    /** Route of the request in that version. */
    const route* matched_route = nullptr;
    /** How much longer the caller waits. */
    duration time_left{};
    /** Round-trip time between the caller and this instance; zero if not
        known. */
    duration travel_time{};
    /** The caller's id for the request. */
    std::string label;
};

/** Why a request was not answered. */
enum class forward_failure : std::uint8_t
{
    none,
    /** The waiting work would make the answer late. */
    overloaded,
    /** A service that the request needs has no usable searcher. */
    no_searcher,
    /** The searchers rejected it; it has not run. */
    searchers_full,
    /** All attempts failed; the request may have run. */
    attempts_failed,
    /** The deadline passed. */
    deadline,
    /** The instance stops before the request is answered. */
    stopping
};

/** Returns the name for logs and metrics. */
std::string_view to_string(forward_failure value) noexcept;

/** A shard without an answer, and why. */
struct missing_part
{
    std::string service;
    /** Searcher of the last attempt; empty if there was none. */
    std::string searcher;
    /** "waiting" for a searcher below its limit, "running", "postponed" until
        the budget allows a retry, or "failed". */
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
    /** Time after which the caller may send the request again; zero if not
        known. */
    duration retry_after{};
    /** The answer of a single searcher, or the merged body. */
    searcher_answer answer;
    /** Signatures of the merged parts. */
    std::vector<std::string> part_signatures;
    /** Number of shards that are missing in a merged answer. */
    std::size_t missing_parts = 0;
    /** The first few shards without an answer, also of a failed request. */
    std::vector<missing_part> missing;
    /** Number of attempts that were sent. */
    std::uint32_t attempts = 0;
    /** Of these, hedges and retries. */
    std::uint32_t extra_attempts = 0;
};

/** Actions that a forward_engine requests. They are called from within the
    engine's methods; implementations must not call the engine before those
    return.

    @see forward_engine
*/
class forward_actions
{
public:
    virtual ~forward_actions() = default;

    /** Sends a request to a searcher. The result is reported by
        forward_engine::on_result().
        @param time_left  passed on to the searcher */
    virtual void send(
        attempt_handle attempt,
        request_handle request,
        const std::shared_ptr<searcher>& target,
        duration time_left) = 0;

    /** Ends an attempt without an answer by closing its connection. */
    virtual void abandon(attempt_handle attempt) = 0;

    /** Sends the final result of a request to its caller. */
    virtual void finish(request_handle request, forward_result&& result) = 0;
};

} // namespace turmericlane
