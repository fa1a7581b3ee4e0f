#include "rank.h"

namespace turmericlane
{

std::string_view to_string(rank value) noexcept
{
    switch (value)
    {
    case rank::urgent:
        return "urgent";
    case rank::ordinary:
        return "ordinary";
    case rank::archive:
        return "archive";
    }
    return "unknown";
}

std::optional<rank> parse_rank(std::string_view name) noexcept
{
    for (auto it : all_ranks)
        if (to_string(it) == name)
            return it;
    return std::nullopt;
}

} // namespace turmericlane
