#include "connection_report.h"

namespace turmericlane
{

std::string_view to_string(caller_connection_end value) noexcept
{
    switch (value)
    {
    case caller_connection_end::caller_closed:
        return "caller_closed";
    case caller_connection_end::caller_reset:
        return "caller_reset";
    case caller_connection_end::caller_lost:
        return "caller_lost";
    case caller_connection_end::write_error:
        return "write_error";
    case caller_connection_end::write_timeout:
        return "write_timeout";
    case caller_connection_end::discard_timeout:
        return "discard_timeout";
    case caller_connection_end::idle_timeout:
        return "idle_timeout";
    case caller_connection_end::closed_idle:
        return "closed_idle";
    case caller_connection_end::connection_limit:
        return "connection_limit";
    case caller_connection_end::memory_limit:
        return "memory_limit";
    case caller_connection_end::process_end:
        return "process_end";
    }
    return "unknown";
}

} // namespace turmericlane
