#include "violation.h"

#include <iterator>

namespace turmericlane::load
{

std::string_view to_string(violation value) noexcept
{
    constexpr std::string_view names[] = {
        "mixed_snapshots",   "wrong_coverage", "wrong_answer",
        "ran_after_not_run", "ran_twice",      "never_ran",
        "malformed"};
    static_assert(std::size(names) == violation_count);
    return names[static_cast<std::size_t>(value)];
}

} // namespace turmericlane::load
