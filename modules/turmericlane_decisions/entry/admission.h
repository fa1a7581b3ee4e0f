#pragma once

#include <turmericlane_bundle/turmericlane_bundle.h>

#include <array>

namespace turmericlane
{

/** Adaptive limit of concurrent queries for each rank at one entry.

    A query that met long queues at the owners lowers the limit of its rank by
    a factor, at most once per round trip. Other queries raise it by a constant
    amount per round trip, but only while the limit is in use: a limit that
    grew in quiet times would not protect the owners when a flood starts.

    @see search_coordinator
*/
class admission
{
public:
    admission();

    /** Takes the targets of the ranks from a bundle. */
    void on_bundle(const bundle& in_force);

    /** Counts one more query of a rank in.
        @returns false if the rank's limit is reached */
    bool try_enter(rank work);

    /** Counts a query out. */
    void leave(rank work);

    /** True if a part that waited that long counts as delayed. */
    bool delayed(rank work, duration queue_delay) const;

    /** A query met long queues: lowers the limit, unless it was lowered after
        that query was sent. */
    void on_congested(rank work, time_point sent, time_point now);

    /** A query ended without long queues: raises the limit if it is in use. */
    void on_uncongested(rank work);

    /** Concurrent queries that are allowed now. */
    double limit(rank work) const;

private:
    struct rank_state
    {
        double limit = 0.0;
        std::size_t in_use = 0;
        time_point lowered{};
        duration delay_bound{};
    };

    std::array<rank_state, rank_count> ranks_;
};

} // namespace turmericlane
