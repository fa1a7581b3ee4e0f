#include "store_reader.h"

namespace turmericlane
{

std::string_view to_string(store_failure value) noexcept
{
    switch (value)
    {
    case store_failure::unreachable:
        return "unreachable";
    case store_failure::refused:
        return "refused";
    case store_failure::history_lost:
        return "history_lost";
    case store_failure::malformed:
        return "malformed";
    case store_failure::older_era:
        return "older_era";
    }
    return "unknown";
}

} // namespace turmericlane
