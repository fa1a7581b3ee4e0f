#include "forward_request.h"

namespace turmericlane
{

std::string_view to_string(forward_failure value) noexcept
{
    switch (value)
    {
    case forward_failure::none:
        return "none";
    case forward_failure::overloaded:
        return "overloaded";
    case forward_failure::no_searcher:
        return "no_searcher";
    case forward_failure::searchers_full:
        return "searchers_full";
    case forward_failure::attempts_failed:
        return "attempts_failed";
    case forward_failure::deadline:
        return "deadline";
    case forward_failure::stopping:
        return "stopping";
    }
    return "unknown";
}

} // namespace turmericlane
