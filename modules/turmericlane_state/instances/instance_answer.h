#pragma once

#include "../membership/membership_table.h"

#include <string>
#include <vector>

namespace turmericlane
{

/** Answer to a caller that asks which instances it should use
    (GET /v1/instances). */
struct instance_answer
{
    /** Instances to use, nearest first. */
    std::vector<member> instances;
    /** How long the caller may use the answer. */
    duration lifetime{};
};

/** Settings of an instance_answer. */
struct instance_answer_limits
{
    /** Instances in an answer at most. */
    std::size_t instances = 16;
    /** How long a caller may use the answer; has to be shorter than the leaving
        phase of shutdown_sequence. */
    duration lifetime = std::chrono::seconds(10);
};

/** Makes the answer for one caller: live instances of this data centre, then
    those of the others. The instances of each data centre are rotated so that
    callers spread over them.

    @param table                 the fleet; this instance is included while it
                                 is live
    @param nearest_data_centres  data centres by distance, nearest first; others
                                 follow in order of their names
    @param rotation              counter that grows by one with each answer
    @param limits                bounds and lifetime
    @see shutdown_sequence */
instance_answer make_instance_answer(
    const membership_table& table,
    std::span<const std::string> nearest_data_centres,
    std::uint64_t rotation,
    const instance_answer_limits& limits);

} // namespace turmericlane
