#pragma once

#include <turmericlane_bundle/turmericlane_bundle.h>

#include <array>
#include <cstdint>
#include <deque>
#include <optional>

namespace turmericlane
{

/** The parts that wait for a slot of one group, in one queue per rank.

    Urgent entries go first; the other ranks follow in order of arrival while
    their queues are short, otherwise the more urgent one goes first. A waiting
    rank below its guaranteed share of the recent slot time goes before all. A
   rank that doesn't use its share lends it to the others at once, as only
   waiting ranks are considered.

    An entry that is withdrawn stays in its queue until it comes up; the user
    of the queue recognises it then.

    @see dispatch_engine
*/
class rank_queue
{
public:
    /** Handle of a part. Handles are reused in any order, so that they say
        nothing about the order of arrival. */
    using entry = std::uint64_t;

    /** Takes the guaranteed shares from a bundle.
        @param capacity  entries that may wait in each rank */
    void set_policy(const bundle& in_force, std::size_t capacity);

    /** True if the rank takes no more entries. */
    bool full(rank work) const;

    /** Adds an entry at the end of its rank. */
    void push(rank work, entry added);

    /** An entry was withdrawn and no longer counts; see front. */
    void on_withdrawn(rank work);

    /** First entry of a rank, withdrawn ones included; there must be one. */
    entry front(rank work) const;

    /** Removes the first entry of a rank.
        @param withdrawn  it was reported to on_withdrawn before */
    void pop(rank work, bool withdrawn);

    /** True if a rank has no entry, withdrawn ones included. */
    bool empty(rank work) const;

    /** The rank whose first entry gets the next slot. */
    std::optional<rank> next(time_point now);

    /** A rank was given slot time; negative to correct an estimate. */
    void charge(rank work, duration slot_time, time_point now);

    /** Entries of a rank that are not withdrawn. */
    std::size_t waiting(rank work) const;

    /** Entries of all ranks that are not withdrawn. */
    std::size_t waiting() const;

private:
    rank first_arrived(rank most_urgent) const;
    void decay(time_point now);

    struct queued_entry
    {
        entry part = 0;
        std::uint64_t arrival = 0;
    };

    struct rank_state
    {
        std::deque<queued_entry> entries;
        std::size_t waiting = 0;
        double min_share = 0.0;
        /** Recent slot time in seconds, decayed. */
        double used = 0.0;
    };

    std::array<rank_state, rank_count> ranks_;
    std::uint64_t arrivals_ = 0;
    std::size_t capacity_ = 0;
    time_point decayed_{};
};

} // namespace turmericlane
