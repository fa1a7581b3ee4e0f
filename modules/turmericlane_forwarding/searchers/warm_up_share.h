#pragma once

#include "warm_up_pacer.h"

#include <deque>
#include <span>
#include <string_view>
#include <vector>

namespace turmericlane
{

/** Why an instance may or may not send requests to cold searchers. */
enum class warm_up_state : std::uint8_t
{
    /** It is one of the instances that share the rates. */
    sharing,
    /** Other instances share the rates. */
    not_chosen,
    /** What it knows of the fleet has just changed. */
    unsettled,
    /** It sees too few of the instances that may be running. */
    minority
};

/** Returns the name of a state. */
std::string_view to_string(warm_up_state value) noexcept;

/** Decides how many requests this instance may send to a cold searcher.

    A few instances divide the rate of every cold searcher, the same ones for
    all searchers, so that a rate of a few requests a second is not split into
    shares below one among hundreds of instances. If the rate is below their
    number, hashing selects the ones that may send, by searcher.

    All instances compute the same division from their views of the fleet,
    which differ while instances join, leave or lose contact. A smaller share
    therefore counts at once and a larger one only after the settling time, when
    the other instances have given it up and their last requests are more than a
    second old. On each side of a partition, the rate is divided by what is
    missing once the missing instances are no longer expected back soon.

    It is made for fleets of up to thousands of instances in which single ones
    come and go all the time and data centres lose contact for an hour.

    Decision code without input or output, and without a clock. Not thread-safe.

    @see caller_placement, instance_count, warm_up_pacer
*/
class warm_up_share
{
public:
    /** What this instance knows of the fleet. */
    struct fleet_view
    {
        /** Nonces of live instances, in the order of caller_placement. */
        std::vector<std::uint64_t> preferred_instances;
        /** Number of live instances, this one included. */
        std::size_t live_count = 1;
        /** Number of instances that may be running; see instance_count. */
        std::size_t expected_count = 1;
    };

    /** @param instance  nonce of this instance */
    explicit warm_up_share(std::uint64_t instance);

    /** Call regularly, at intervals of at most a second. A longer interval
        counts as a pause of the process, after which the view is stale. */
    void on_fleet(const fleet_view& view, time_point now);

    /** Returns the limit for this instance.
        @param searcher  id of the searcher
        @param rate      requests in a second from all instances together;
                         above 0 */
    warm_up_limit
    limit(std::string_view searcher, double rate, time_point now) const;

    /** Returns whether this instance may send to cold searchers, and the
        reason. */
    warm_up_state state(time_point now) const;

private:
    /** A division of the rates. */
    struct division
    {
        std::vector<std::uint64_t> holders;
        /** Share of the rates that the holders have together. */
        double total_share = 1.0;
        /** When another division replaced it. */
        time_point end = time_point::max();

        bool has_same_shares(const division& other) const
        {
            return holders == other.holders && total_share == other.total_share;
        }
    };

    double total_share(const fleet_view& view, time_point now);
    void replace_division(division next, time_point now);
    bool is_minority() const noexcept;
    warm_up_limit limit_of(
        const division& value, std::string_view searcher, double rate) const;

    std::uint64_t instance_;
    std::size_t live_count_ = 0;
    std::size_t expected_count_ = 0;
    /** Number of live instances when it last changed a lot. */
    std::size_t fleet_size_ = 0;
    std::size_t peak_count_ = 0;
    time_point peak_time_{};
    time_point last_update_{};
    /** Divisions that count at present, the current one last. */
    std::deque<division> divisions_;
};

} // namespace turmericlane
