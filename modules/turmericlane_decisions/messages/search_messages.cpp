#include "search_messages.h"

namespace turmericlane
{

double search_answer::overall_coverage() const noexcept
{
    std::uint64_t answered = 0;
    std::uint64_t total = 0;
    for (const auto& it : coverage)
    {
        answered += it.answered;
        total += it.total;
    }
    if (total == 0)
        return 0.0;
    return static_cast<double>(answered) / static_cast<double>(total);
}

} // namespace turmericlane
