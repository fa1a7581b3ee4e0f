#pragma once

#include "work_meter.h"

#include <functional>
#include <turmericlane_forwarding/turmericlane_forwarding.h>
#include <turmericlane_state/turmericlane_state.h>

#include <vector>

namespace turmericlane
{

/** Chooses the instances whose addresses are given to callers, from the load
    that this instance and its peers report.

    One thread uses it.

    @see caller_placement, work_meter
*/
class caller_directory
{
public:
    /** @param self  this instance; its address is given to callers until
                     instances are chosen */
    explicit caller_directory(const member& self);

    /** Counts an attempt that this instance has sent. */
    void on_attempt() noexcept
    {
        meter_.on_attempt();
    }

    /** Takes the load that a peer has reported.
        @param nonce         the peer's process
        @param busy_percent  its load in percent of its processor share
        @param capacity      its processor share in thousandths of a core */
    void on_peer_load(
        std::uint64_t nonce,
        std::uint8_t busy_percent,
        std::uint32_t capacity,
        time_point now);

    /** Measures this instance's load. To be called every few tens of
        milliseconds. */
    void measure(time_point now);

    /** True if choose_instances is to be called again. */
    bool is_choice_due(time_point now) const noexcept;

    /** Chooses the instances whose addresses are given to callers.
        @param live_members      all live instances that can be reached,
                                 including this one unless it is leaving
        @param searchers_nearby  number of searchers by data centre
        @param instances         number of instances that may be running; at
                                 least 1
        @returns how the instances divide what they may use together */
    fleet_division choose_instances(
        std::vector<member> live_members,
        const std::map<std::string, std::size_t>& searchers_nearby,
        std::uint32_t instances,
        time_point now);

    /** Returns the addresses of chosen instances. If there are more than
        max_count, successive calls return different ones, so that callers
        spread over all of them.
        @param max_count  largest number of addresses */
    std::vector<endpoint> addresses(std::size_t max_count);

    /** Returns the addresses of instances in data centres that are preferred
        for a caller: chosen instances if there are any, else other live ones,
        and those of addresses() if there are none.
        @param max_count     largest number of addresses
        @param is_preferred  true for the name of a preferred data centre */
    std::vector<endpoint> addresses(
        std::size_t max_count,
        const std::function<bool(const std::string&)>& is_preferred);

    /** Returns the chosen instances, best first. */
    std::span<const member> named_members() const noexcept
    {
        return named_members_;
    }

    /** Returns how long callers may use the addresses. The time is shorter
        while the number of known instances changes a lot: the addresses are
        then chosen from a part of the fleet and differ between instances.
        @param max_lifetime  upper bound of the result */
    duration address_lifetime(duration max_lifetime, time_point now) const;

    /** Returns this instance's load in percent of its processor share. */
    std::uint8_t busy_percent() const noexcept
    {
        return meter_.busy_percent();
    }

private:
    /** Returns up to max_count endpoints; successive calls start at different
        ones. */
    std::vector<endpoint>
    rotate(std::vector<endpoint> endpoints, std::size_t max_count);

    endpoint self_;
    std::uint64_t nonce_;
    std::uint32_t capacity_;
    work_meter meter_;
    caller_placement placement_;
    std::vector<member> live_members_;
    std::vector<member> named_members_;
    time_point last_choice_{};
    /** Number of live instances known when it last changed a lot. */
    std::size_t fleet_size_ = 0;
    time_point last_resize_{};
    std::uint64_t rotation_ = 0;
};

} // namespace turmericlane
