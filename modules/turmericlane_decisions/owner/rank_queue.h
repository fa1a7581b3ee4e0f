#pragma once

#include <turmericlane_bundle/turmericlane_bundle.h>

#include <array>
#include <cstdint>
#include <deque>
#include <optional>

namespace turmericlane
{

/** The sub-requests that wait for a slot of one group, in one queue per rank.

    Urgent items go first. The other ranks are served in order of arrival while
    their queues are short, otherwise the more urgent rank goes first. A waiting
    rank that has had less than its guaranteed share of the recent slot time
    goes before all others. Only waiting ranks are considered, so a share that
    is not used is available to the other ranks at once.

    An item that was withdrawn stays in its queue until it reaches the front,
    where the user of the queue detects and removes it.

    @see dispatch_engine
*/
class rank_queue
{
public:
    /** Handle of a sub-request. Handles are reused in any order and don't show
        the order of arrival. */
    using item_handle = std::uint64_t;

    /** Takes the guaranteed shares from a bundle.
        @param capacity  largest number of waiting items of each rank */
    void set_policy(const bundle& active_bundle, std::size_t capacity);

    /** True if the queue of a rank has reached its capacity. */
    bool is_full(rank request_rank) const;

    /** Adds an item at the end of its rank. */
    void push(rank request_rank, item_handle handle);

    /** Stops counting an item that was withdrawn. It stays in its queue. */
    void on_withdrawn(rank request_rank);

    /** Returns the first item of a rank, withdrawn ones included. There must
        be one. */
    item_handle front(rank request_rank) const;

    /** Removes the first item of a rank. There must be one.
        @param was_withdrawn  on_withdrawn was called for it before */
    void pop(rank request_rank, bool was_withdrawn);

    /** True if a rank has no item, withdrawn ones included. */
    bool is_empty(rank request_rank) const;

    /** Returns the rank whose first item gets the next slot, if any waits. */
    std::optional<rank> next_rank(time_point now);

    /** Adds to the slot time used by a rank; a negative time corrects an
        estimate that was too high. */
    void charge(rank request_rank, duration slot_time, time_point now);

    /** Returns the number of items of a rank, without withdrawn ones. */
    std::size_t waiting_count(rank request_rank) const;

    /** Returns the number of items of all ranks, without withdrawn ones. */
    std::size_t waiting_count() const;

private:
    rank earliest_arrival(rank most_urgent) const;
    void decay_slot_times(time_point now);

    struct queued_item
    {
        item_handle handle = 0;
        std::uint64_t arrival_number = 0;
    };

    struct rank_state
    {
        std::deque<queued_item> items;
        std::size_t waiting_count = 0;
        double min_share = 0.0;
        /** Recent slot time in seconds, with exponential decay. */
        double used_slot_time = 0.0;
    };

    std::array<rank_state, rank_count> ranks_;
    std::uint64_t last_arrival_number_ = 0;
    std::size_t capacity_ = 0;
    time_point last_decay_time_{};
};

} // namespace turmericlane
