#include "violation.h"

namespace turmericlane::bench
{

std::string_view to_string(violation value) noexcept
{
    constexpr std::array<std::string_view, violation_count> names = {
        "mixed_answer",     "wrong_coverage", "finished_twice",
        "never_finished",   "foreign_hit",    "not_run_reached_slot",
        "connection_limit", "leaving_server"};
    return names[static_cast<std::size_t>(value)];
}

} // namespace turmericlane::bench
