#pragma once

#include "work_meter.h"

#include <turmericlane_forwarding/turmericlane_forwarding.h>
#include <turmericlane_state/turmericlane_state.h>

#include <vector>

namespace turmericlane
{

/** Which instances callers are told to use, from the work that this instance
    and its peers report.

    One thread uses it.

    @see caller_placement, work_meter
*/
class caller_directory
{
public:
    /** @param self  this instance, which callers are told of while no other is
                     known */
    explicit caller_directory(const member& self);

    /** This instance sent an attempt. */
    void on_attempt() noexcept
    {
        work_.on_attempt();
    }

    /** A peer told how busy it is.
        @param capacity  its processor share in thousandths of a core */
    void on_peer(
        std::uint64_t nonce,
        std::uint8_t busy_percent,
        std::uint32_t capacity,
        time_point now);

    /** Measures this instance's work; to be called every few tens of
        milliseconds. */
    void measure(time_point now);

    /** True if the choice is due to be made anew. */
    bool due(time_point now) const noexcept;

    /** Chooses the instances to name.
        @param live              all live instances, this one included unless it
                                 leaves
        @param searchers_nearby  number of searchers by data centre
        @param instances         instances that may be running; at least 1
        @returns how the instances divide what they may use together */
    fleet_division choose(
        std::vector<member> live,
        const std::map<std::string, std::size_t>& searchers_nearby,
        std::uint32_t instances,
        time_point now);

    /** The chosen instances; callers spread over all of them if there are more
        than asked for.
        @param most  bound on their number */
    std::vector<endpoint> addresses(std::size_t most);

    /** For how long callers may keep the addresses: shorter while the known
        fleet grows or shrinks much, since they are then chosen from a part of
        it and differ between instances.
        @param longest  bound on it */
    duration address_lifetime(duration longest, time_point now) const;

    /** This instance's work in percent of its processor share. */
    std::uint8_t busy_percent() const noexcept
    {
        return work_.busy_percent();
    }

private:
    endpoint self_;
    std::uint64_t nonce_;
    std::uint32_t capacity_;
    work_meter work_;
    caller_placement placement_;
    std::vector<endpoint> named_;
    time_point chosen_{};
    /** Known live instances when their number last changed much. */
    std::size_t fleet_size_ = 0;
    time_point resized_{};
    std::uint64_t rotation_ = 0;
};

} // namespace turmericlane
