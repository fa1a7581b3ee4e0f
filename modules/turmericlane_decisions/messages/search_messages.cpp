#include "search_messages.h"

namespace turmericlane
{

double search_answer::overall_coverage() const noexcept
{
    std::uint64_t answered_groups = 0;
    std::uint64_t total_groups = 0;
    for (const auto& it : coverage)
    {
        answered_groups += it.answered_groups;
        total_groups += it.total_groups;
    }
    if (total_groups == 0)
        return 0.0;
    return static_cast<double>(answered_groups) /
           static_cast<double>(total_groups);
}

} // namespace turmericlane
