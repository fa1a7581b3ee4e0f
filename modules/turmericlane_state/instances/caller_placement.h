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
    /** Lower bound on the chosen instances, so that callers have others left
        when some fail at the same time. */
    std::size_t min_instances = 6;
    /** Processor capacity of the chosen instances, as a multiple of what all
        instances use: a burst rises faster than callers ask for new
        addresses. */
    double headroom = 4.0;
};

/** Chooses the instances whose addresses callers get.

    A request that is sent to many groups takes milliseconds of processor time,
    and many times that on an instance with a small share of a processor. So the
    instances with the largest processor capacity come first, then those in data
    centres with many searchers. The load that all instances report decides how
    many are chosen: few at a low load, so that each knows the searchers well
    and keeps its connections in use, and all of them near saturation.

    All instances sort the fleet in the same way, so that their answers agree
    without any communication.

    It is made for requests to many groups on instances of unequal capacity, and
    for bursts that exceed the capacity of the instances chosen so far.

    The class does no I/O and reads no clock; one thread uses it.

    @see membership_table, fleet_division
*/
class caller_placement
{
public:
    explicit caller_placement(const placement_limits& limits = {});

    /** An instance reported how much processor time it uses.
        @param nonce  nonce of the instance
        @param cores  processor time in use, in cores
        @param now    time of the report */
    void on_processor_use(std::uint64_t nonce, double cores, time_point now);

    /** Chooses the instances whose addresses callers get.
        @param live_instances            all live instances
        @param searchers_by_data_centre  number of searchers by data centre
        @param now                       current time
        @returns the chosen instances, best first; empty only if no instance is
                 live */
    std::vector<member> choose(
        std::vector<member> live_instances,
        const std::map<std::string, std::size_t>& searchers_by_data_centre,
        time_point now);

private:
    struct processor_use
    {
        double cores = 0.0;
        time_point reported_at;
    };

    double
    update_peak_demand(std::span<const member> live_instances, time_point now);

    placement_limits limits_;
    std::unordered_map<std::uint64_t, processor_use> reported_uses_;
    /** Recent peak of the processor demand, in cores; it decays over time. */
    double peak_cores_ = 0.0;
    time_point peak_time_{};
};

} // namespace turmericlane
