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
    /** There is a whole reply, whatever its HTTP status. */
    replied,
    /** No connection; no byte was sent. */
    connect_failed,
    /** The connection broke before the whole reply was there, or the reply is
        not valid HTTP or longer than 16 MiB. */
    connection_lost,
    /** The deadline passed before the whole reply was there. */
    timed_out,
    /** The job was cancelled; a reply that still came was dropped. */
    cancelled,
    /** The job's permit refused, or the pool is stopped; no byte was sent. */
    not_sent
};

/** Returns the name that logs use. */
std::string_view to_string(exchange_status value) noexcept;

/** Result of an exchange with a backend server. */
struct exchange_result
{
    exchange_status status = exchange_status::not_sent;
    /** False only if certainly no byte of the request has left. */
    bool may_have_left = false;
    /** HTTP status; 0 without a reply. */
    int http_status = 0;
    std::string body;
};

/** One request to a backend server. */
struct backend_job
{
    /** GET without a body, or POST with one. */
    bool post = true;
    std::string path;
    /** Sent as X-Request-Id; POST /cancel names it. */
    std::string request_id;
    /** Further headers. */
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    /** When the reply must be there. */
    time_point deadline;
    /** May be empty. Called by the connection's thread when the connection
        stands, immediately before the first byte; false stops the job with
        not_sent. */
    std::function<bool()> permit;
    /** Called exactly once, with no lock held: by the connection's thread, by
        the thread that cancels or stops a job that was not yet started, or
        inside submit after stop. It may submit and cancel. */
    std::function<void(exchange_result)> done;
};

/** Identifies a submitted job. */
using backend_job_id = std::uint64_t;

} // namespace turmericlane
