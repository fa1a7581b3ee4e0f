#pragma once

#include <turmericlane_core/turmericlane_core.h>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace turmericlane
{

/** How an exchange with a backend server ended. */
enum class exchange_status : std::uint8_t
{
    /** A complete reply arrived, whatever its HTTP status. */
    replied,
    /** No connection could be opened; no byte was sent. */
    connect_failed,
    /** The connection broke before the reply was complete, or the reply is not
        valid HTTP or is longer than 16 MiB. */
    connection_lost,
    /** The deadline passed before the reply was complete. */
    timed_out,
    /** The job was cancelled; a reply that still arrived was discarded. */
    cancelled,
    /** The job's send condition was false, or the pool is stopped; no byte was
        sent. */
    not_sent
};

/** Returns the name that is written to logs. */
std::string_view to_string(exchange_status value) noexcept;

/** Result of a request to a backend server. */
struct exchange_result
{
    exchange_status status = exchange_status::not_sent;
    /** False only if it is certain that no byte of the request was sent. */
    bool may_have_been_sent = false;
    /** HTTP status; 0 without a reply. */
    int http_status = 0;
    std::string body;
};

/** One request to a backend server. */
struct backend_job
{
    /** True for a POST with a body, false for a GET without one. */
    bool is_post = true;
    std::string path;
    /** Sent as X-Request-Id, and again in a POST /cancel for this job. */
    std::string request_id;
    /** Further headers. */
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    /** Time by which the reply must be complete. */
    time_point deadline;
    /** May be empty. Called by the connection's thread once connected,
        immediately before the first byte is sent; if it returns false, the job
        ends with not_sent. */
    std::function<bool()> send_condition;
    /** Called exactly once, with no lock held: by the connection's thread, by
        the thread that cancels or stops a job that has not started, or from
        submit after a stop. It may submit and cancel jobs. */
    std::function<void(exchange_result)> completion_handler;
};

/** Identifies a submitted job. */
using backend_job_id = std::uint64_t;

} // namespace turmericlane
