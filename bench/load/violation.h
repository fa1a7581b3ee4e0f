#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace turmericlane::load
{

/** Kinds of violated guarantees that the load tool can detect. */
enum class violation : std::uint8_t
{
    /** Guarantee 1: an answer has hits of several snapshots. */
    mixed_snapshots,
    /** Guarantee 2: the coverage does not agree with the hits. */
    wrong_coverage,
    /** Guarantee 3: the answer is incomplete or belongs to another request. */
    wrong_answer,
    /** Guarantee 4: a request ran that was refused with not_run. */
    ran_after_not_run,
    /** Guarantee 5: a booking ran more than once. */
    ran_twice,
    /** A booking was answered with ran but is not in the journal. */
    never_ran,
    /** The answer does not have the documented format. */
    malformed
};

/** Number of kinds of violations. */
inline constexpr std::size_t violation_count = 7;

/** Returns the name of a violation in reports. */
std::string_view to_string(violation value) noexcept;

/** One detected violation. */
struct violation_record
{
    violation kind = violation::malformed;
    std::string detail;
};

} // namespace turmericlane::load
