#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace turmericlane::load
{

/** Kinds of broken promises that the load tool can see. */
enum class violation : std::uint8_t
{
    /** Promise 1: hits of several snapshots in one answer. */
    mixed_snapshots,
    /** Promise 2: the coverage is not what the hits show. */
    wrong_coverage,
    /** Promise 3: not the whole answer to the own request. */
    wrong_answer,
    /** Promise 4: refused with not_run, and it ran. */
    ran_after_not_run,
    /** Promise 5: a booking ran more than once. */
    ran_twice,
    /** A booking was answered with ran, and the journal does not have it. */
    never_ran,
    /** The answer does not have the documented form. */
    malformed
};

/** Number of kinds. */
inline constexpr std::size_t violation_count = 7;

/** Returns the name that reports use. */
std::string_view to_string(violation value) noexcept;

/** One broken promise. */
struct violation_record
{
    violation kind = violation::malformed;
    std::string detail;
};

} // namespace turmericlane::load
