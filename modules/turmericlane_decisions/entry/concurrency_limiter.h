#pragma once

#include <turmericlane_bundle/turmericlane_bundle.h>

#include <array>

namespace turmericlane
{

/** Adaptive limit of concurrent queries for each rank at one entry.

    A query that met long queues at the owners lowers the limit of its rank by
    a factor, at most once per round trip. Other queries raise it by a constant
    amount per round trip, but only while the limit is in use: a limit that
    grew during low load would not protect the owners from a sudden overload.

    @see search_coordinator
*/
class concurrency_limiter
{
public:
    concurrency_limiter();

    /** Takes over the target latencies of the ranks from a bundle. */
    void on_bundle(const bundle& bundle_in_force);

    /** Counts one more running query of a rank.
        @returns false if the rank's limit is reached */
    bool try_acquire(rank request_rank);

    /** Counts one running query less. */
    void release(rank request_rank);

    /** True if a sub-request with that queue delay counts as delayed. */
    bool is_delayed(rank request_rank, duration queue_delay) const;

    /** Lowers the limit after a query that met long queues, unless it was
        lowered after that query was sent. */
    void
    on_congested_query(rank request_rank, time_point send_time, time_point now);

    /** Raises the limit after a query without long queues, if at least half of
        the limit is in use. */
    void on_uncongested_query(rank request_rank);

    /** Returns how many concurrent queries of a rank are allowed now. */
    double limit(rank request_rank) const;

private:
    struct rank_state
    {
        double limit = 0.0;
        std::size_t running_queries = 0;
        time_point last_decrease{};
        duration delay_bound{};
    };

    std::array<rank_state, rank_count> ranks_;
};

} // namespace turmericlane
