#include "store_listener.h"

namespace turmericlane
{

std::string_view to_string(return_evidence value) noexcept
{
    switch (value)
    {
    case return_evidence::stated_era:
        return "stated_era";
    case return_evidence::lower_revision:
        return "lower_revision";
    case return_evidence::older_item:
        return "older_item";
    case return_evidence::peer:
        return "peer";
    }
    return "unknown";
}

} // namespace turmericlane
