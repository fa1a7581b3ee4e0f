#pragma once

#include "../membership/member.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace turmericlane
{

/** Bounds of a caller_placement. */
struct placement_limits
{
    /** Instances named at least, so that callers have others to turn to when
        some fail at once. */
    std::size_t least_instances = 6;
    /** Processor share of the named instances, as a multiple of what all
        instances use: a burst comes faster than callers ask for addresses. */
    double headroom = 4.0;
};

/** Decides which instances are named to callers.

    A gathered request costs milliseconds of processor time, which a small
    instance stretches to many. The instances with the largest share of a
    processor are named first, then those in data centres with many searchers.
    The load that all instances report decides how many: few at a low load, so
    that each knows the searchers well and keeps its connections in use, and all
    of them near saturation.

    All instances order the fleet in the same way, so that their answers agree
    without a message.

    Answers two loads: fan-outs on instances of unequal size, and bursts beyond
    what the named instances can bear.

    Decision code; one thread uses it.

    @see membership_table, fleet_division
*/
class caller_placement
{
public:
    explicit caller_placement(const placement_limits& limits = {});

    /** An instance told how busy it is.
        @param nonce  the instance
        @param cores  processor time that it uses, in cores */
    void on_use(std::uint64_t nonce, double cores, time_point now);

    /** Chooses the instances to name.
        @param live              all live instances
        @param searchers_nearby  number of searchers by data centre
        @returns the best ones first; empty only if there is no live one */
    std::vector<member> choose(
        std::vector<member> live,
        const std::map<std::string, std::size_t>& searchers_nearby,
        time_point now);

private:
    struct reported_use
    {
        double cores = 0.0;
        time_point at;
    };

    double demand(std::span<const member> live, time_point now);

    placement_limits limits_;
    std::unordered_map<std::uint64_t, reported_use> uses_;
    /** Highest demand of late, in cores; it falls slowly. */
    double peak_ = 0.0;
    time_point peak_at_{};
};

} // namespace turmericlane
