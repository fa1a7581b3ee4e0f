#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace turmericlane
{

/** What ended the connection of a caller. */
enum class caller_connection_end : std::uint8_t
{
    caller_closed,
    caller_reset,
    /** Reading failed in another way: the caller's host is unreachable. */
    caller_lost,
    write_error,
    /** The caller did not read its answer in time. */
    write_timeout,
    /** The last answer was sent, and the time for discarding further bytes was
        over. */
    discard_timeout,
    idle_timeout,
    /** This instance closed it because it is shutting down and the connection
        carried no request. */
    closed_idle,
    /** This instance made room for other connections. */
    connection_limit,
    /** The answers that wait for their callers took too much memory. */
    memory_limit,
    /** The process ends. */
    process_end
};

/** Returns the name for logs and metrics. */
std::string_view to_string(caller_connection_end value) noexcept;

/** How a caller's connection ended whose latest request has no wholly delivered
    answer.

    @see session_handler::on_connection_ended
*/
struct connection_report
{
    caller_connection_end cause = caller_connection_end::process_end;
    /** State of the session: "handling", "writing", "discarding", "idle" or
        "reading". */
    std::string_view state;
    /** Bytes of the answer that the system has taken over; zero if there is no
        answer yet. */
    std::size_t written_bytes = 0;
    /** Bytes of the answer that the system has not taken over. */
    std::size_t unwritten_bytes = 0;
    /** Bytes of the answer that the system has taken over and the caller's host
        has not acknowledged. */
    std::size_t unacknowledged_bytes = 0;
    /** Received bytes that the process has not read. If there are any, closing
        the connection resets it. */
    std::size_t unread_bytes = 0;
};

} // namespace turmericlane
