#pragma once

#include <chrono>
#include <cstddef>

namespace turmericlane
{

/** Limits of the requests on one connection. */
struct frontend_limits
{
    /** Longest head, with its terminator. */
    std::size_t max_head_bytes = std::size_t{16} << 10U;
    std::size_t max_field_count = 200;
    /** Empty lines before a request. */
    std::size_t max_empty_lines = 8;
    std::size_t max_body_bytes = std::size_t{1} << 20U;
    /** Time after which an idle connection is closed. */
    std::chrono::milliseconds idle_timeout{30000};
    /** Time from the first byte of a request to its last. */
    std::chrono::milliseconds request_timeout{10000};
    /** The same limits while other connections wait for a thread. */
    std::chrono::milliseconds busy_idle_timeout{200};
    std::chrono::milliseconds busy_request_timeout{2000};
};

} // namespace turmericlane
