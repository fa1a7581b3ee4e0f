#pragma once

#include "../membership/membership_table.h"

#include <string>
#include <vector>

namespace turmericlane
{

/** Answer to "Which instances should I use" (GET /v1/instances). */
struct instance_answer
{
    /** HTTP endpoints, nearest first. */
    std::vector<member> instances;
    /** How long the caller may use the answer. */
    duration lifetime{};
};

/** Bounds of an instance_answer. */
struct instance_answer_limits
{
    std::size_t instances = 16;
    /** Shorter than the leaving phase of shutdown_sequence. */
    duration lifetime = std::chrono::seconds(10);
};

/** Makes the answer for one caller: live instances of this data centre, then
    those of the others, each part rotated so that callers spread.

    @param table     the fleet; this instance is named while it is live
    @param nearest   data centres by distance, nearest first; those not named
                     follow in order of name
    @param rotation  a counter that grows by one with each answer
    @param limits    bounds
    @see shutdown_sequence */
instance_answer make_instance_answer(
    const membership_table& table,
    std::span<const std::string> nearest,
    std::uint64_t rotation,
    const instance_answer_limits& limits);

} // namespace turmericlane
