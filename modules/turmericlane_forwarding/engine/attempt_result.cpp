#include "attempt_result.h"

namespace turmericlane
{

std::string_view to_string(attempt_outcome value) noexcept
{
    switch (value)
    {
    case attempt_outcome::answered:
        return "answered";
    case attempt_outcome::server_error:
        return "server_error";
    case attempt_outcome::rejected:
        return "rejected";
    case attempt_outcome::misdirected:
        return "misdirected";
    case attempt_outcome::not_sent:
        return "not_sent";
    case attempt_outcome::turned_away:
        return "turned_away";
    case attempt_outcome::unacknowledged:
        return "unacknowledged";
    case attempt_outcome::broken:
        return "broken";
    }
    return "unknown";
}

} // namespace turmericlane
