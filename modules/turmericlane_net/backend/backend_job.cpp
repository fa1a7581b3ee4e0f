#include "backend_job.h"

namespace turmericlane
{

std::string_view to_string(exchange_status value) noexcept
{
    switch (value)
    {
    case exchange_status::replied:
        return "replied";
    case exchange_status::connect_failed:
        return "connect_failed";
    case exchange_status::connection_lost:
        return "connection_lost";
    case exchange_status::timed_out:
        return "timed_out";
    case exchange_status::cancelled:
        return "cancelled";
    case exchange_status::not_sent:
        return "not_sent";
    }
    return "unknown";
}

} // namespace turmericlane
