#pragma once

#include <cstddef>

namespace turmericlane
{

/** Open connections of callers by state, and the bytes in their system buffers.

    @see http_listener::count_sessions
*/
struct session_counts
{
    std::size_t handling = 0;
    std::size_t writing = 0;
    /** Their last answer was sent; further bytes are discarded. */
    std::size_t discarding = 0;
    std::size_t idle = 0;
    /** A request is incomplete. */
    std::size_t reading = 0;
    /** Sent bytes that the callers' hosts have not acknowledged. */
    std::size_t unacknowledged_bytes = 0;
    /** Received bytes that the process has not read. */
    std::size_t unread_bytes = 0;
};

} // namespace turmericlane
