#pragma once

#include <turmericlane_core/turmericlane_core.h>

#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace turmericlane
{

/** Divides the room in front of one service among the ranks that compete for
    it.

    While there is too little room, each rank has a minimum share of it, in
    proportion to what its callers ask for. The rest goes to the most urgent
    rank that waits. A share that its rank does not use is lent to the others
    at once, and called back with the next free places: a rank is owed its share
    of the starts for as long as it waits, and nothing for the time before.

    Made for bursts of a few seconds in which urgent and archive requests
    together ask for up to three times of what a service can do.

    Decision code without input or output. Not thread-safe.

    @see room_control
*/
class service_room
{
public:
    /** Number of waiting sub-requests by rank. */
    using waiting_counts = std::map<std::uint32_t, std::size_t>;

    /** What a rank got lately, and what it is entitled to. */
    struct rank_share
    {
        std::uint32_t rank = 0;
        /** Minimum share of the room, 0 to 1. */
        double minimum = 0.0;
        /** Share of the recent starts, 0 to 1. */
        double used = 0.0;
        /** Share of the recent requests that were admitted, 0 to 1. */
        double served = 1.0;
    };

    /** Call when a request of a rank arrives for the first time. */
    void on_asked(std::uint32_t rank, time_point now);

    /** Call when a request of a rank is admitted. */
    void on_admitted(std::uint32_t rank, time_point now);

    /** Call when an admitted request is refused after all. */
    void on_dropped(std::uint32_t rank, time_point now);

    /** Call when a first attempt of a rank is sent. */
    void on_started(std::uint32_t rank, time_point now);

    /** Returns which of the waiting ranks gets the next place.
        @param waiting_ranks  not empty, the most urgent first */
    std::uint32_t
    next_rank(std::span<const std::uint32_t> waiting_ranks, time_point now);

    /** Returns the expected time until a sub-request starts.
        @param rank        of the sub-request
        @param own_ahead   waiting sub-requests of its rank ahead of it
        @param waiting     all waiting sub-requests
        @param throughput  sub-requests that the service starts per second */
    duration expected_wait(
        std::uint32_t rank,
        double own_ahead,
        const waiting_counts& waiting,
        double throughput,
        time_point now);

    /** Returns the share of the service's throughput that a rank can count on
        at present. */
    double expected_share(
        std::uint32_t rank,
        const waiting_counts& waiting,
        double throughput,
        time_point now);

    /** True if a rank was lately served more often than a more urgent one that
        does not get all that it asks for. */
    bool is_ahead_of_more_urgent(std::uint32_t rank, time_point now);

    /** Returns the shares of all ranks that asked lately. */
    std::vector<rank_share> shares(time_point now);

private:
    /** Sums that decay with time. */
    struct rank_state
    {
        double asked = 0.0;
        double admitted = 0.0;
        double started = 0.0;
        /** Starts that the rank is owed by its minimum share; does not
            decay. */
        double credit = 0.0;
        bool is_waiting = false;

        double served() const noexcept;
    };

    void decay(time_point now);
    double minimum_share(std::uint32_t rank) const;

    std::map<std::uint32_t, rank_state> ranks_;
    time_point decay_time_{};
};

} // namespace turmericlane
